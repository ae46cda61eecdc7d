package org.damaskmoor.core.placement;

import static com.google.common.truth.Truth.assertThat;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.function.Function;
import org.junit.jupiter.api.Test;

class TargetChooserTest {
    private static final CallProfile WORK = new CallProfile(100, 800, 2);
    private static final long NOW = 10_000;

    private final TargetChooser chooser = new TargetChooser(new SplittableRandom(1));

    @Test
    void should_prefer_a_near_target_that_is_a_little_slower_while_both_answer_in_time() {
        // given
        TargetEstimate near = target(Proximity.REGION, 4, 1);
        TargetEstimate far = target(Proximity.REMOTE, 0, 1);

        // when, then
        assertThat(choose(List.of(near, far), WORK).target()).isSameInstanceAs(near);
    }

    @Test
    void should_cross_to_another_region_when_every_near_target_would_be_late() {
        // given
        TargetEstimate near = target(Proximity.REGION, 90, 1);
        TargetEstimate far = target(Proximity.REMOTE, 0, 1);

        // when, then
        assertThat(choose(List.of(near, far), WORK).target()).isSameInstanceAs(far);
    }

    @Test
    void should_keep_large_answers_in_the_region_longer_than_small_ones() {
        // given
        TargetEstimate near = target(Proximity.REGION, 45, 1);
        TargetEstimate far = target(Proximity.REMOTE, 0, 1);

        // when
        TargetEstimate small = choose(List.of(near, far), new CallProfile(100, 800, 1)).target();
        TargetEstimate large = choose(List.of(near, far), new CallProfile(100, 800, 30)).target();

        // then
        assertThat(small).isSameInstanceAs(far);
        assertThat(large).isSameInstanceAs(near);
    }

    @Test
    void should_spread_a_burst_over_equal_targets() {
        // given
        List<TargetEstimate> targets = new ArrayList<>();
        for (int i = 0; i < 4; i++) {
            targets.add(target(Proximity.DATA_CENTRE, 0, 1));
        }

        // when
        Map<TargetEstimate, Integer> counts = new HashMap<>();
        for (int i = 0; i < 36; i++) {
            TargetEstimate chosen = choose(targets, WORK).target();
            chosen.onSent(NOW);
            counts.merge(chosen, 1, Integer::sum);
        }

        // then no target gets more than its slots
        assertThat(counts.values()).containsExactly(9, 9, 9, 9);
    }

    @Test
    void should_count_a_slow_moment_no_more_than_the_wait_for_its_end() {
        // given
        TargetEstimate slow = target(Proximity.DATA_CENTRE, 0, 5);
        TargetEstimate far = target(Proximity.REMOTE, 0, 1);
        CallProfile longWork = new CallProfile(300, 800, 2);

        // when, then
        assertThat(choose(List.of(slow, far), longWork).target()).isSameInstanceAs(slow);
    }

    @Test
    void should_forget_a_slow_moment_as_its_report_ages() {
        // given
        TargetEstimate target = target(Proximity.DATA_CENTRE, 0, 5);

        // when, then
        assertThat(target.transientSlowness(NOW)).isGreaterThan(3.9);
        assertThat(target.transientSlowness(NOW + 500)).isLessThan(0.1);
    }

    @Test
    void should_tell_how_much_later_the_best_target_may_start() {
        // given
        TargetEstimate near = target(Proximity.DATA_CENTRE, 0, 1);
        TargetEstimate other = target(Proximity.REGION, 0, 1);
        TargetEstimate far = target(Proximity.REMOTE, 0, 1);

        // when
        double toNeighbour = choose(List.of(near, other), WORK).spareMilliseconds();
        double toFar = choose(List.of(near, far), WORK).spareMilliseconds();

        // then
        assertThat(toFar).isGreaterThan(toNeighbour);
        assertThat(choose(List.of(near), WORK).spareMilliseconds()).isEqualTo(Double.MAX_VALUE);
    }

    @Test
    void should_leave_a_target_whose_calls_are_overdue_before_any_answer_comes() {
        // given
        TargetEstimate stuck = target(Proximity.DATA_CENTRE, 0, 1);
        TargetEstimate other = target(Proximity.REGION, 3, 1);
        stuck.onSent(NOW - 3000);

        // when, then
        assertThat(choose(List.of(stuck, other), WORK).target()).isSameInstanceAs(other);
    }

    @Test
    void should_choose_nothing_from_nothing() {
        // when, then
        assertThat(choose(List.of(), WORK)).isNull();
    }

    private TargetChooser.Choice<TargetEstimate> choose(
            List<TargetEstimate> candidates, CallProfile work) {
        return chooser.choose(candidates, Function.identity(), work, NOW);
    }

    private static TargetEstimate target(Proximity nearness, int running, double slowness) {
        TargetEstimate estimate = new TargetEstimate(nearness, 9, NOW);
        estimate.onLoadReport(new LoadSnapshot(running, 0, 9, slowness, 1, 0), NOW);
        return estimate;
    }
}
