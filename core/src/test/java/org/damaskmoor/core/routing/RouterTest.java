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
    void should_choose_none_when_all_are_leaving_absent_or_excluded() {
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
    void should_avoid_a_slow_server_before_its_first_late_answer() {
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
    void should_not_draw_load_to_an_upstream_that_fails_fast() {
        // given
        List<Target> targets = near(5);
        router.updateTargets(targets, fixture.now);
        Target failing = targets.get(0);

        // when
        int toFailing = 0;
        for (int i = 0; i < 2000; i++) {
            Target chosen = fixture.choose().orElseThrow().target();
            router.onSent(chosen.id(), fixture.now);
            fixture.advance(1);
            if (chosen.equals(failing)) {
                toFailing++;
                router.onFailed(chosen.id(), MILLISECOND, fixture.now);
            } else {
                fixture.answered(chosen, 1, load(5, 5));
            }
        }

        // then
        assertThat(toFailing).isAtMost(20);
    }

    @Test
    void should_not_eject_more_than_the_set_share_when_all_fail() {
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
        double most = targets.size() * RoutingOptions.DEFAULT.ejectedPercent() / 100.0;
        assertThat(ejected).isAtMost(most + 1e-9);
        assertThat(ejected).isGreaterThan(0.9 * most);
    }

    @Test
    void should_treat_a_target_with_a_stale_report_like_the_mean_not_like_an_idle_one() {
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
    void should_send_less_to_a_returned_upstream_when_others_have_some_load() {
        // given
        List<Target> targets = near(2);
        router.updateTargets(targets, fixture.now);
        Target returned =
                new Target(
                        new TargetId(targets.get(0).id().node(), new Incarnation(2)),
                        HOME,
                        NORTH,
                        UpstreamState.SERVING,
                        10);
        router.updateTargets(List.of(returned, targets.get(1)), fixture.now);

        // when
        router.onLoadReport(returned.id(), load(0, 5), fixture.now);
        router.onLoadReport(targets.get(1).id(), load(5, 5), fixture.now);

        // then
        assertThat(fixture.shares(CHOICES)).doesNotContainKey(returned);
        fixture.advance(11_000);
        router.onLoadReport(returned.id(), load(0, 5), fixture.now);
        router.onLoadReport(targets.get(1).id(), load(5, 5), fixture.now);
        assertThat(fixture.shares(CHOICES)).doesNotContainKey(targets.get(1));
    }

    @Test
    void should_take_targets_that_it_gets_to_know_while_it_joins_as_warm() {
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
    void should_ignore_news_of_a_former_incarnation() {
        // given
        router.updateTargets(near(1), fixture.now);
        TargetId former = new TargetId(new NodeId("node-0"), new Incarnation(99));

        // when
        router.onSent(former, fixture.now);
        router.onLoadReport(former, load(9, 5), fixture.now);

        // then
        assertThat(router.explain(fixture.now).get(0).expectedLoad()).isEqualTo(0);
    }

    @Test
    void should_prefer_the_own_data_centre_until_its_queue_costs_more_than_the_way() {
        // given
        Target north = near("a");
        Target south = target("b", HOME, SOUTH, UpstreamState.SERVING);
        router.updateTargets(List.of(north, south), fixture.now);

        // when
        router.onLoadReport(north.id(), load(1, 5), fixture.now);
        router.onLoadReport(south.id(), load(0, 5), fixture.now);
        Map<Target, Integer> calm = fixture.shares(CHOICES);
        router.onLoadReport(north.id(), load(16, 5), fixture.now);
        Map<Target, Integer> busy = fixture.shares(CHOICES);

        // then
        assertThat(calm).doesNotContainKey(south);
        assertThat(busy).doesNotContainKey(north);
    }

    @Test
    void should_use_the_paid_link_only_while_the_region_has_no_headroom() {
        // given
        Target home = near("a");
        router.updateTargets(List.of(home, far("z")), fixture.now);
        router.onRegionSummary(
                new RegionSummary(new ServiceName("besuch"), FAR, 1, 0, 10, 5000), fixture.now);

        // when
        Map<Target, Integer> calm = sharesAtLoad(home, 9);
        Map<Target, Integer> full = sharesAtLoad(home, 300);
        boolean goneWhenFull = router.isRegionHeadroomExhausted();
        sharesAtLoad(home, 8);
        boolean goneInBetween = router.isRegionHeadroomExhausted();
        Map<Target, Integer> back = sharesAtLoad(home, 2);

        // then
        assertThat(calm).doesNotContainKey(far("z"));
        assertThat(goneWhenFull).isTrue();
        assertThat(full).containsKey(far("z"));
        assertThat(goneInBetween).isTrue();
        assertThat(back).doesNotContainKey(far("z"));
    }

    @Test
    void should_not_go_far_when_the_deadline_is_shorter_than_the_way() {
        // given
        router.updateTargets(List.of(far("z")), fixture.now);

        // when
        var choice =
                router.choose(new RoutingRequest(false, 50 * MILLISECOND), Set.of(), fixture.now);

        // then
        assertThat(choice).isEqualTo(Optional.empty());
    }

    @Test
    void should_stop_at_once_when_a_target_says_that_it_drains() {
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
    void should_not_draw_load_to_a_target_that_refuses_fast_while_others_are_busy() {
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
    void should_choose_a_target_again_when_it_reports_that_it_no_longer_leaves() {
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
    void should_not_let_one_long_request_keep_a_target_out_when_others_queue() {
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
    void should_try_unreachable_targets_when_there_are_no_others() {
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
    void should_place_an_unguarded_key_alike_in_all_regions_when_each_has_targets() {
        // given
        List<Target> targets = List.of(near("a"), near("b"), far("c"), far("d"));
        RouterFixture home = RouterFixture.expectedCompletion();
        Router away =
                Router.create(
                        FAR,
                        SPIEZ,
                        RoutingOptions.DEFAULT,
                        ChoicePolicies.expectedCompletion(4),
                        new Random(1));
        home.router.updateTargets(targets, home.now);
        away.updateTargets(targets, home.now);

        for (int i = 0; i < 20; i++) {
            // when
            String key = "key-" + i;
            Choice fromHome = place(home.router, key, KeyScope.ALL_REGIONS, home.now);
            Choice fromAway = place(away, key, KeyScope.ALL_REGIONS, home.now);

            // then
            assertThat(fromAway.target()).isEqualTo(fromHome.target());
            Choice near = place(home.router, key, KeyScope.REGION_FIRST, home.now);
            assertThat(near.target().region()).isEqualTo(HOME);
        }
    }

    private static Choice place(Router router, String key, KeyScope scope, long now) {
        return router.chooseForKey(key, scope, Set.of(), now).orElseThrow();
    }
}
