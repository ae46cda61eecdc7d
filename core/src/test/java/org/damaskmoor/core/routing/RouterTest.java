package org.damaskmoor.core.routing;

import static com.google.common.truth.Truth.assertThat;
import static org.damaskmoor.core.routing.RouterFixture.FAR;
import static org.damaskmoor.core.routing.RouterFixture.HOME;
import static org.damaskmoor.core.routing.RouterFixture.MILLISECOND;
import static org.damaskmoor.core.routing.RouterFixture.NORTH;
import static org.damaskmoor.core.routing.RouterFixture.REQUEST;
import static org.damaskmoor.core.routing.RouterFixture.SOUTH;
import static org.damaskmoor.core.routing.RouterFixture.SPIEZ;
import static org.damaskmoor.core.routing.RouterFixture.far;
import static org.damaskmoor.core.routing.RouterFixture.load;
import static org.damaskmoor.core.routing.RouterFixture.near;
import static org.damaskmoor.core.routing.RouterFixture.target;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import org.damaskmoor.core.id.Incarnation;
import org.damaskmoor.core.id.NodeId;
import org.damaskmoor.core.id.ServiceName;
import org.damaskmoor.core.id.TargetId;
import org.damaskmoor.core.load.RegionSummary;
import org.damaskmoor.schema.mesh.LoadReport;
import org.damaskmoor.schema.mesh.RefusalReason;
import org.damaskmoor.schema.mesh.UpstreamState;
import org.junit.jupiter.api.Test;

class RouterTest {
    private static final int CHOICES = 400;

    private final RouterFixture fixture = RouterFixture.expectedCompletion();
    private final Router router = fixture.router;

    @Test
    void should_choose_no_target_when_all_are_leaving_absent_or_excluded() {
        // given
        Target leaving = target("a", HOME, NORTH, UpstreamState.LEAVING);
        Target absent = target("b", HOME, NORTH, UpstreamState.ABSENT);
        router.updateTargets(List.of(leaving, absent, near("c")), fixture.now);

        // when
        var choice = router.choose(REQUEST, Set.of(new NodeId("c")), fixture.now);

        // then
        assertThat(choice).isEqualTo(Optional.empty());
    }

    @Test
    void should_avoid_a_slow_target_before_its_first_late_answer() {
        // given
        List<Target> targets = near(4);
        router.updateTargets(targets, fixture.now);
        targets.forEach(target -> router.onLoadReport(target.id(), load(1, 5), fixture.now));
        targets.forEach(target -> router.onSent(target.id(), fixture.now));

        // when
        fixture.advance(5);
        targets.subList(1, 4).forEach(target -> fixture.answered(target, 5, load(0, 5)));
        targets.subList(1, 4).forEach(target -> router.onSent(target.id(), fixture.now));
        fixture.advance(2);

        // then
        assertThat(fixture.shares(CHOICES)).doesNotContainKey(targets.get(0));
    }

    @Test
    void should_not_attract_load_to_a_target_that_fails_fast() {
        // given
        List<Target> targets = near(5);
        router.updateTargets(targets, fixture.now);
        Target failing = targets.get(0);

        // when
        int failingChoices = 0;
        for (int i = 0; i < 2000; i++) {
            Target chosen = fixture.choose().orElseThrow().target();
            router.onSent(chosen.id(), fixture.now);
            fixture.advance(1);
            if (chosen.equals(failing)) {
                failingChoices++;
                router.onFailed(chosen.id(), MILLISECOND, fixture.now);
            } else {
                fixture.answered(chosen, 1, load(5, 5));
            }
        }

        // then
        assertThat(failingChoices).isAtMost(20);
    }

    @Test
    void should_not_eject_more_than_the_configured_share_when_all_fail() {
        // given
        List<Target> targets = near(8);
        router.updateTargets(targets, fixture.now);

        // when
        for (int i = 0; i < 50; i++) {
            targets.forEach(target -> router.onFailed(target.id(), 0, fixture.now));
        }

        // then
        double ejected = 0;
        for (CandidateEstimate weight : router.explain(fixture.now)) {
            ejected += 1 - weight.share();
        }
        double maximum = targets.size() * RoutingOptions.DEFAULT.ejectedPercent() / 100.0;
        assertThat(ejected).isAtMost(maximum + 1e-9);
        assertThat(ejected).isGreaterThan(0.9 * maximum);
    }

    @Test
    void should_treat_a_target_with_a_stale_report_as_average_and_not_as_idle() {
        // given
        List<Target> targets = near(2);
        router.updateTargets(targets, fixture.now);
        router.onLoadReport(targets.get(0).id(), load(0, 5), fixture.now);
        fixture.advance(60_000);

        // when
        for (int i = 0; i < 200; i++) {
            router.onLoadReport(targets.get(1).id(), load(8, 5), fixture.now);
        }

        // then
        for (CandidateEstimate weight : router.explain(fixture.now)) {
            assertThat(weight.expectedLoad()).isWithin(0.5).of(8);
        }
    }

    @Test
    void should_slow_start_a_restarted_target_when_others_have_some_load() {
        // given
        List<Target> targets = near(2);
        router.updateTargets(targets, fixture.now);
        Target restarted =
                new Target(
                        new TargetId(targets.get(0).id().node(), new Incarnation(2)),
                        HOME,
                        NORTH,
                        UpstreamState.SERVING,
                        10);
        router.updateTargets(List.of(restarted, targets.get(1)), fixture.now);

        // when
        router.onLoadReport(restarted.id(), load(0, 5), fixture.now);
        router.onLoadReport(targets.get(1).id(), load(5, 5), fixture.now);

        // then
        assertThat(fixture.shares(CHOICES)).doesNotContainKey(restarted);
        fixture.advance(11_000);
        router.onLoadReport(restarted.id(), load(0, 5), fixture.now);
        router.onLoadReport(targets.get(1).id(), load(5, 5), fixture.now);
        assertThat(fixture.shares(CHOICES)).doesNotContainKey(targets.get(1));
    }

    @Test
    void should_not_slow_start_targets_discovered_while_this_node_joins() {
        // given
        List<Target> targets = near(4);
        router.updateTargets(targets.subList(0, 1), fixture.now);

        // when
        fixture.advance(2000);
        router.updateTargets(targets, fixture.now);
        targets.forEach(target -> router.onLoadReport(target.id(), load(8, 5), fixture.now));

        // then
        assertThat(fixture.shares(CHOICES).get(targets.get(3))).isGreaterThan(CHOICES / 8);
    }

    @Test
    void should_ignore_events_of_an_earlier_incarnation() {
        // given
        router.updateTargets(near(1), fixture.now);
        TargetId earlier = new TargetId(new NodeId("node-0"), new Incarnation(99));

        // when
        router.onSent(earlier, fixture.now);
        router.onLoadReport(earlier, load(9, 5), fixture.now);

        // then
        assertThat(router.explain(fixture.now).get(0).expectedLoad()).isEqualTo(0);
    }

    @Test
    void should_prefer_the_local_data_centre_until_its_queue_costs_more_than_the_round_trip() {
        // given
        Target north = near("a");
        Target south = target("b", HOME, SOUTH, UpstreamState.SERVING);
        router.updateTargets(List.of(north, south), fixture.now);

        // when
        router.onLoadReport(north.id(), load(1, 5), fixture.now);
        router.onLoadReport(south.id(), load(0, 5), fixture.now);
        Map<Target, Integer> shortQueue = fixture.shares(CHOICES);
        router.onLoadReport(north.id(), load(16, 5), fixture.now);
        Map<Target, Integer> longQueue = fixture.shares(CHOICES);

        // then
        assertThat(shortQueue).doesNotContainKey(south);
        assertThat(longQueue).doesNotContainKey(north);
    }

    @Test
    void should_use_other_regions_only_while_the_local_region_has_no_headroom() {
        // given
        Target local = near("a");
        router.updateTargets(List.of(local, far("z")), fixture.now);
        router.onRegionSummary(
                new RegionSummary(new ServiceName("besuch"), FAR, 1, 0, 10, 5000), fixture.now);

        // when
        Map<Target, Integer> withHeadroom = sharesAtLoad(local, 9);
        Map<Target, Integer> exhausted = sharesAtLoad(local, 300);
        boolean exhaustedWhenFull = router.isRegionHeadroomExhausted();
        sharesAtLoad(local, 8);
        boolean exhaustedInBetween = router.isRegionHeadroomExhausted();
        Map<Target, Integer> recovered = sharesAtLoad(local, 2);

        // then
        assertThat(withHeadroom).doesNotContainKey(far("z"));
        assertThat(exhaustedWhenFull).isTrue();
        assertThat(exhausted).containsKey(far("z"));
        assertThat(exhaustedInBetween).isTrue();
        assertThat(recovered).doesNotContainKey(far("z"));
    }

    @Test
    void should_not_choose_a_remote_target_when_the_deadline_is_below_the_round_trip() {
        // given
        router.updateTargets(List.of(far("z")), fixture.now);

        // when
        var choice =
                router.choose(new RoutingRequest(false, 50 * MILLISECOND), Set.of(), fixture.now);

        // then
        assertThat(choice).isEqualTo(Optional.empty());
    }

    @Test
    void should_stop_choosing_a_target_once_it_refuses_as_draining() {
        // given
        List<Target> targets = near(2);
        router.updateTargets(targets, fixture.now);
        router.onSent(targets.get(0).id(), fixture.now);

        // when
        router.onRefused(
                targets.get(0).id(),
                0,
                RefusalReason.DRAINING,
                LoadReport.getDefaultInstance(),
                fixture.now);
        router.updateTargets(targets, fixture.now);

        // then
        assertThat(fixture.shares(CHOICES)).doesNotContainKey(targets.get(0));
    }

    @Test
    void should_not_attract_load_to_a_target_that_refuses_fast_while_others_are_busy() {
        // given
        List<Target> targets = near(4);
        router.updateTargets(targets, fixture.now);
        LoadReport idle = load(0, 5).toBuilder().setLimit(1).build();

        // when
        for (int i = 0; i < 20; i++) {
            targets.forEach(target -> router.onLoadReport(target.id(), load(20, 5), fixture.now));
            router.onRefused(targets.get(0).id(), 0, RefusalReason.OVERLOADED, idle, fixture.now);
        }

        // then
        assertThat(fixture.shares(CHOICES)).doesNotContainKey(targets.get(0));
        fixture.advance(10_000);
        Target busy = targets.get(1);
        router.updateTargets(targets.subList(0, 2), fixture.now);
        router.onLoadReport(busy.id(), load(30, 5), fixture.now);
        assertThat(fixture.shares(CHOICES)).doesNotContainKey(busy);
    }

    @Test
    void should_choose_a_target_again_when_it_reports_serving_after_leaving() {
        // given
        Target target = near("a");
        router.updateTargets(List.of(target), fixture.now);
        LoadReport leaving = load(0, 5).toBuilder().setState(UpstreamState.LEAVING).build();

        // when
        router.onLoadReport(target.id(), leaving, fixture.now);
        boolean whileLeaving = fixture.choose().isPresent();
        router.onLoadReport(target.id(), load(0, 5), fixture.now);

        // then
        assertThat(whileLeaving).isFalse();
        assertThat(fixture.choose().isPresent()).isTrue();
    }

    @Test
    void should_not_avoid_a_target_for_one_long_request_when_others_have_queues() {
        // given
        List<Target> targets = near(2);
        router.updateTargets(targets, fixture.now);
        router.onSent(targets.get(0).id(), fixture.now);

        // when
        fixture.advance(4000);
        router.onLoadReport(targets.get(0).id(), load(1, 5), fixture.now);
        router.onLoadReport(targets.get(1).id(), load(100, 5), fixture.now);

        // then
        assertThat(fixture.shares(CHOICES)).doesNotContainKey(targets.get(1));
    }

    @Test
    void should_choose_unreachable_targets_when_there_are_no_others() {
        // given
        List<Target> targets = near(2);
        router.updateTargets(targets, fixture.now);

        // when
        router.onUnreachable(targets.get(0).id(), fixture.now);
        Map<Target, Integer> oneReachable = fixture.shares(CHOICES);
        router.onUnreachable(targets.get(1).id(), fixture.now);

        // then
        assertThat(oneReachable).doesNotContainKey(targets.get(0));
        assertThat(fixture.choose().isPresent()).isTrue();
    }

    private Map<Target, Integer> sharesAtLoad(Target target, int inFlight) {
        fixture.advance(100);
        router.onLoadReport(target.id(), load(inFlight, 5), fixture.now);
        return fixture.shares(CHOICES);
    }

    @Test
    void should_map_a_key_without_a_claim_to_the_same_target_in_all_regions() {
        // given
        List<Target> targets = List.of(near("a"), near("b"), far("c"), far("d"));
        RouterFixture local = RouterFixture.expectedCompletion();
        Router remote =
                Router.create(
                        FAR,
                        SPIEZ,
                        RoutingOptions.DEFAULT,
                        ChoicePolicies.expectedCompletion(4),
                        new Random(1));
        local.router.updateTargets(targets, local.now);
        remote.updateTargets(targets, local.now);

        for (int i = 0; i < 20; i++) {
            // when
            String key = "key-" + i;
            Choice fromLocal = chooseForKey(local.router, key, KeyScope.ALL_REGIONS, local.now);
            Choice fromRemote = chooseForKey(remote, key, KeyScope.ALL_REGIONS, local.now);

            // then
            assertThat(fromRemote.target()).isEqualTo(fromLocal.target());
            Choice near = chooseForKey(local.router, key, KeyScope.REGION_FIRST, local.now);
            assertThat(near.target().region()).isEqualTo(HOME);
        }
    }

    private static Choice chooseForKey(Router router, String key, KeyScope scope, long now) {
        return router.chooseForKey(key, scope, Set.of(), now).orElseThrow();
    }
}
