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
                retries += budget.tryAcquire(1, NODES, now) ? 1 : 0;
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
        while (budget.tryAcquire(1, 1, 0)) {
            // uses up the budget
        }

        // when, then
        assertThat(budget.tryAcquire(1, 1, 500)).isFalse();
        assertThat(budget.tryAcquire(1, 1, 1001)).isTrue();
    }

    @Test
    void should_divide_the_fixed_number_among_the_nodes() {
        // given
        FleetRetryBudget budget = new FleetRetryBudget(0, 64, 1000);

        // when, then
        assertThat(budget.tryAcquire(1, 2800, 0)).isFalse();
    }

    /**
     * Replays an upstream service that sheds more than half of all calls for some seconds: a third
     * of them are sent by other upstreams and more urgent.
     */
    @Test
    void should_leave_most_retries_to_urgent_calls_when_all_calls_fail() {
        // given
        FleetRetryBudget budget = new FleetRetryBudget(0.2, 64, 10_000);

        // when
        int urgent = 0;
        int lessUrgent = 0;
        for (long now = 0; now < 8000; now += 50) {
            budget.onRequest(now);
            if (now % 150 == 0) {
                urgent += budget.tryAcquire(0, NODES, now) ? 1 : 0;
            } else {
                lessUrgent += budget.tryAcquire(2, NODES, now) ? 1 : 0;
            }
        }

        // then
        assertThat(urgent).isGreaterThan(lessUrgent);
        assertThat(urgent + lessUrgent).isAtMost((int) (0.7 * (0.2 * 160 + 64.0 / NODES)));
    }

    @Test
    void should_give_the_whole_budget_to_less_urgent_calls_when_no_other_needs_it() {
        // given
        FleetRetryBudget budget = new FleetRetryBudget(0, 20, 1000);

        // when
        int granted = 0;
        for (int i = 0; i < 20; i++) {
            granted += budget.tryAcquire(2, 1, i) ? 1 : 0;
        }

        // then
        assertThat(granted).isEqualTo(14);
    }
}
