package org.damaskmoor.core.routing;

import static com.google.common.truth.Truth.assertThat;
import static org.damaskmoor.core.routing.RouterFixture.FAR;
import static org.damaskmoor.core.routing.RouterFixture.HOME;
import static org.damaskmoor.core.routing.RouterFixture.NORTH;
import static org.damaskmoor.core.routing.RouterFixture.REQUEST;
import static org.damaskmoor.core.routing.RouterFixture.SPIEZ;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.damaskmoor.core.hash.StableHash;
import org.damaskmoor.core.id.NodeId;
import org.damaskmoor.schema.mesh.UpstreamState;

/** The router beside versions of its parts that hold plain lists and look at everything. */
class RouterDifferentialTest {
    private static final UpstreamState[] STATES = {
        UpstreamState.WARMING, UpstreamState.SERVING, UpstreamState.LEAVING, UpstreamState.ABSENT
    };

    @Property(seed = "1")
    void should_draw_each_target_once_that_a_filter_lets_through(
            @ForAll long seed, @ForAll @IntRange(max = 12) int count) {
        // given
        Random random = new Random(seed);
        Set<NodeId> drawn = new HashSet<>();
        List<NodeId> draws = new ArrayList<>();
        RouterFixture fixture = new RouterFixture(seed, (all, now) -> drawAll(all, drawn, draws));
        List<Target> targets = randomTargets(random, count);
        Set<NodeId> excluded = randomNodes(random, targets);
        fixture.router.updateTargets(targets, fixture.now);

        // when
        fixture.router.choose(REQUEST, excluded, fixture.now);

        // then
        Set<NodeId> home = naiveCandidates(targets, excluded, true);
        Set<NodeId> expected = home.isEmpty() ? naiveCandidates(targets, excluded, false) : home;
        assertThat(drawn).isEqualTo(expected);
        assertThat(draws).containsNoDuplicates();
    }

    @Property(seed = "1")
    void should_count_own_requests_like_a_list_of_them(@ForAll long seed) {
        // given
        Random random = new Random(seed);
        RouterFixture fixture = RouterFixture.expectedCompletion();
        Target target = RouterFixture.near("a");
        fixture.router.updateTargets(List.of(target), fixture.now);
        List<Long> sent = new ArrayList<>();

        for (int i = 0; i < 60; i++) {
            // when
            fixture.advance(random.nextInt(3));
            if (sent.isEmpty() || random.nextBoolean()) {
                sent.add(fixture.now);
                fixture.router.onSent(target.id(), fixture.now);
            } else {
                long start = sent.remove(random.nextInt(sent.size()));
                fixture.router.onAbandoned(target.id(), fixture.now - start, fixture.now);
            }

            // then
            CandidateEstimate weight = fixture.router.explain(fixture.now).get(0);
            assertThat(weight.expectedLoad()).isEqualTo((double) sent.size());
            assertThat(weight.expectedNanoseconds()).isEqualTo(naiveCost(sent, fixture.now));
        }
    }

    @Property(seed = "1")
    void should_place_a_key_where_sorting_places_it_and_move_it_only_if_it_must(
            @ForAll String key, @ForAll long seed, @ForAll @IntRange(min = 2, max = 12) int count) {
        // given
        RouterFixture fixture = RouterFixture.expectedCompletion();
        List<Target> targets = RouterFixture.near(count);
        fixture.router.updateTargets(targets, fixture.now);
        Target first = placed(fixture, key);

        // when
        Target removed = targets.remove(new Random(seed).nextInt(count));
        fixture.router.updateTargets(targets, fixture.now);
        Target second = placed(fixture, key);
        targets.add(0, removed);
        fixture.router.updateTargets(targets, fixture.now);
        Target third = placed(fixture, key);

        // then
        assertThat(first).isEqualTo(naivePlace(targets, key));
        if (!removed.equals(first)) {
            assertThat(second).isEqualTo(first);
        }
        assertThat(third).isEqualTo(first);
    }

    private static Target placed(RouterFixture fixture, String key) {
        Optional<Choice> choice =
                fixture.router.chooseForKey(key, KeyScope.REGION_FIRST, Set.of(), fixture.now);
        return choice.orElseThrow().target();
    }

    private static Target naivePlace(List<Target> targets, String key) {
        Comparator<Target> byRank = (a, b) -> Long.compareUnsigned(rank(key, a), rank(key, b));
        return targets.stream().sorted(byRank.reversed()).findFirst().orElseThrow();
    }

    private static long rank(String key, Target target) {
        long nodeHash = StableHash.of(target.id().node().value());
        return StableHash.combine(StableHash.of(key), nodeHash);
    }

    private static Candidate drawAll(Candidates all, Set<NodeId> drawn, List<NodeId> draws) {
        drawn.clear();
        draws.clear();
        Candidate last = null;
        for (Candidate next = all.draw(); next != null; next = all.draw()) {
            drawn.add(next.target().id().node());
            draws.add(next.target().id().node());
            last = next;
        }
        return last;
    }

    private static List<Target> randomTargets(Random random, int count) {
        List<Target> targets = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            boolean home = random.nextBoolean();
            UpstreamState state = STATES[random.nextInt(STATES.length)];
            targets.add(
                    RouterFixture.target(
                            "node-" + i, home ? HOME : FAR, home ? NORTH : SPIEZ, state));
        }
        return targets;
    }

    private static Set<NodeId> randomNodes(Random random, List<Target> targets) {
        Set<NodeId> nodes = new HashSet<>();
        for (Target target : targets) {
            if (random.nextInt(4) == 0) {
                nodes.add(target.id().node());
            }
        }
        return nodes;
    }

    private static Set<NodeId> naiveCandidates(
            List<Target> targets, Set<NodeId> excluded, boolean home) {
        Set<NodeId> candidates = new HashSet<>();
        for (Target target : targets) {
            boolean takes = target.takesNewWork() && !excluded.contains(target.id().node());
            if (takes && target.region().equals(HOME) == home) {
                candidates.add(target.id().node());
            }
        }
        return candidates;
    }

    /** Service time 5 ms, limit 10, no failures, no distance. */
    private static long naiveCost(List<Long> sent, long now) {
        double service = 5 * RouterFixture.MILLISECOND;
        double sumOfAges = 0;
        for (long start : sent) {
            sumOfAges += now - start;
        }
        double meanAge = sent.isEmpty() ? 0 : (sumOfAges + service) / (sent.size() + 1);
        double occupancy = (sent.size() + 1) / 10.0;
        double age = Math.min(meanAge, 10 * service);
        double completion = Math.max(service * Math.max(1, occupancy), age);
        return (long) (completion + service * occupancy);
    }
}
