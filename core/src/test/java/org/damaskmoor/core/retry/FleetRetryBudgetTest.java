package org.damaskmoor.core.retry;

import static com.google.common.truth.Truth.assertThat;

import org.junit.jupiter.api.Test;

class FleetRetryBudgetTest {
    private static final int NODES = 12;

    @Test
    void should_keep_the_sum_over_all_nodes_within_the_bound_when_every_call_fails() {
        // given
        FleetRetryBudget[] budgets = new FleetRetryBudget[NODES];
        for (int node = 0; node < NODES; node++) {
            budgets[node] = new FleetRetryBudget(0.2, 64, 10_000);
        }

        // when each node gets 8 requests per second for 10 s and retries each one
        int retries = 0;
        int requests = 0;
        for (long now = 0; now < 10_000; now += 125) {
            for (FleetRetryBudget budget : budgets) {
                budget.onRequest(now);
                requests++;
                retries += budget.tryAcquire(NODES, now) ? 1 : 0;
            }
        }

        // then
        assertThat(retries).isAtMost((int) (0.2 * requests + 64));
        assertThat(retries).isAtLeast((int) (0.1 * requests));
    }

    @Test
    void should_allow_retries_again_after_the_window() {
        // given
        FleetRetryBudget budget = new FleetRetryBudget(0, 10, 1000);
        while (budget.tryAcquire(1, 0)) {
            // uses up the budget
        }

        // when, then
        assertThat(budget.tryAcquire(1, 500)).isFalse();
        assertThat(budget.tryAcquire(1, 1001)).isTrue();
    }

    @Test
    void should_divide_the_fixed_number_among_the_nodes() {
        // given
        FleetRetryBudget budget = new FleetRetryBudget(0, 64, 1000);

        // when, then
        assertThat(budget.tryAcquire(2800, 0)).isFalse();
    }
}
