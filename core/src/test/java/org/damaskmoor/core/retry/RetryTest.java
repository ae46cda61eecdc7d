package org.damaskmoor.core.retry;

import static com.google.common.truth.Truth.assertThat;

import java.util.Arrays;
import java.util.Random;
import java.util.concurrent.TimeUnit;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.damaskmoor.schema.mesh.RefusalReason;
import org.junit.jupiter.api.Test;

class RetryTest {
    private static final long SECOND = TimeUnit.SECONDS.toNanos(1);
    private static final long MILLISECOND = TimeUnit.MILLISECONDS.toNanos(1);
    private static final DeadlineBudget AMPLE = DeadlineBudget.ofMilliseconds(1000);

    @Property(seed = "1")
    void should_limit_retries_by_fraction_minimum_rate_and_burst(
            @ForAll long seed, @ForAll @IntRange(max = 100) int percent) {
        // given
        Random random = new Random(seed);
        long start = random.nextLong();
        long now = start;
        RetryBudget budget = new RetryBudget(percent, now);
        int requests = 0;
        int retries = 0;

        for (int i = 0; i < 300; i++) {
            // when
            now += random.nextInt(20_000_000);
            if (random.nextInt(3) == 0) {
                budget.onRequest(now);
                requests++;
            } else if (budget.tryAcquire(now)) {
                retries++;
            }

            // then
            double floor = (double) (now - start) / SECOND;
            assertThat((double) retries).isAtMost(20 + floor + requests * percent / 100.0 + 1e-6);
        }
    }

    @Test
    void should_allow_retries_of_a_tenth_of_the_requests_when_all_fail() {
        // given
        RetryBudget budget = new RetryBudget(10, 0);
        int retries = 0;

        // when
        for (int i = 0; i < 10_000; i++) {
            long now = i * MILLISECOND;
            budget.onRequest(now);
            retries += budget.tryAcquire(now) ? 1 : 0;
        }

        // then
        assertThat(retries).isAtLeast(1000);
        assertThat(retries).isAtMost(1000 + 20 + 10);
    }

    @Test
    void should_retry_at_only_one_level_of_a_call_chain() {
        // given
        RefusalReason reason = RefusalReason.OVERLOADED;

        // then
        assertThat(RetryRules.canRetryAfterRefusal(reason, false, 1, AMPLE)).isTrue();
        assertThat(RetryRules.canRetryAfterRefusal(reason, true, 1, AMPLE)).isFalse();
        assertThat(RetryRules.canRetryAfterRefusal(reason, false, 3, AMPLE)).isFalse();
    }

    @Test
    void should_not_retry_a_refusal_that_another_target_would_repeat() {
        assertThat(RetryRules.canRetryAfterRefusal(RefusalReason.QUARANTINED, false, 1, AMPLE))
                .isFalse();
        assertThat(RetryRules.canRetryAfterRefusal(RefusalReason.NOT_ALLOWED, false, 1, AMPLE))
                .isFalse();
        assertThat(
                        RetryRules.canRetryAfterRefusal(
                                RefusalReason.CALLER_OVER_SHARE, false, 1, AMPLE))
                .isFalse();
    }

    @Test
    void should_never_retry_a_non_idempotent_request_that_may_have_run() {
        assertThat(RetryRules.canRetryAfterFailure(true, 1, AMPLE)).isFalse();
        assertThat(RetryRules.canRetryAfterFailure(false, 1, AMPLE)).isTrue();
        assertThat(RetryRules.canRetryAfterFailure(false, 1, new DeadlineBudget(999_999)))
                .isFalse();
    }

    @Test
    void should_subtract_the_time_of_each_hop_and_never_add_time() {
        // given
        DeadlineBudget budget = DeadlineBudget.ofMilliseconds(10);

        // when
        DeadlineBudget next = budget.minus(300_000);

        // then
        assertThat(next.toMilliseconds()).isEqualTo(9);
        assertThat(next.minus(20 * MILLISECOND).isExhausted()).isTrue();
        assertThat(DeadlineBudget.until(5, Long.MAX_VALUE).isExhausted()).isTrue();
    }

    @Property(seed = "1")
    void should_hedge_after_the_percentile_of_sorted_latencies(
            @ForAll long seed, @ForAll @IntRange(min = 50, max = 99) int percentile) {
        // given
        Random random = new Random(seed);
        HedgePolicy hedging = new HedgePolicy(percentile, new RetryBudget(10, 0), 0);
        long[] latencies = random.longs(500, MILLISECOND, SECOND).toArray();

        // when
        Arrays.stream(latencies).forEach(latency -> hedging.onAnswered(latency, 1));
        double delay = hedging.delayNanoseconds(false, 1).orElseThrow();

        // then
        Arrays.sort(latencies);
        double naive = latencies[(int) Math.ceil(percentile / 100.0 * latencies.length) - 1];
        assertThat(delay).isWithin(0.01 * naive).of(naive);
    }

    @Test
    void should_not_hedge_non_idempotent_requests_or_without_enough_samples() {
        // given
        HedgePolicy hedging = new HedgePolicy(95, new RetryBudget(10, 0), 0);

        // when
        boolean before = hedging.delayNanoseconds(false, 0).isPresent();
        for (int i = 0; i < 200; i++) {
            hedging.onAnswered(5 * MILLISECOND, SECOND);
        }

        // then
        assertThat(before).isFalse();
        assertThat(hedging.delayNanoseconds(true, SECOND).isPresent()).isFalse();
        assertThat(hedging.delayNanoseconds(false, SECOND).isPresent()).isTrue();
        assertThat(hedging.delayNanoseconds(false, 100 * SECOND).isPresent()).isFalse();
    }

    @Test
    void should_take_hedges_from_the_retry_budget() {
        // given
        RetryBudget budget = new RetryBudget(0, 0);
        HedgePolicy hedging = new HedgePolicy(95, budget, 0);

        // when
        while (budget.tryAcquire(0)) {
            // uses up the budget
        }

        // then
        assertThat(hedging.tryHedge(0)).isFalse();
    }

    @Test
    void should_reserve_half_of_the_burst_for_retries() {
        // given
        RetryBudget budget = new RetryBudget(0, 0);
        HedgePolicy hedging = new HedgePolicy(95, budget, 0);

        // when
        int hedges = 0;
        while (hedging.tryHedge(0)) {
            hedges++;
        }
        int retries = 0;
        while (budget.tryAcquire(0)) {
            retries++;
        }

        // then
        assertThat(hedges).isEqualTo(10);
        assertThat(retries).isEqualTo(10);
        assertThat(RetryBudget.none().tryAcquire(100 * SECOND)).isFalse();
    }
}
