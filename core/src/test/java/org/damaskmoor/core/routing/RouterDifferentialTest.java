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

/** Compares the router with naive implementations that scan plain lists. */
class RouterDifferentialTest {
    private static final UpstreamState[] STATES = {
        UpstreamState.WARMING, UpstreamState.SERVING, UpstreamState.LEAVING, UpstreamState.ABSENT
    };

    @Property(seed = "1")
    void should_draw_each_eligible_target_exactly_once(
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
        Set<NodeId> local = naiveCandidates(targets, excluded, true);
        Set<NodeId> expected = local.isEmpty() ? naiveCandidates(targets, excluded, false) : local;
        assertThat(drawn).isEqualTo(expected);
        assertThat(draws).containsNoDuplicates();
    }

    @Property(seed = "1")
    void should_track_requests_in_flight_like_a_list_of_them(@ForAll long seed) {
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
    void should_map_a_key_to_the_highest_rank_and_move_it_only_when_that_target_leaves(
            @ForAll String key, @ForAll long seed, @ForAll @IntRange(min = 2, max = 12) int count) {
        // given
        RouterFixture fixture = RouterFixture.expectedCompletion();
        List<Target> targets = RouterFixture.near(count);
        fixture.router.updateTargets(targets, fixture.now);
        Target first = selectForKey(fixture, key);

        // when
        Target removed = targets.remove(new Random(seed).nextInt(count));
        fixture.router.updateTargets(targets, fixture.now);
        Target second = selectForKey(fixture, key);
        targets.add(0, removed);
        fixture.router.updateTargets(targets, fixture.now);
        Target third = selectForKey(fixture, key);

        // then
        assertThat(first).isEqualTo(naiveSelect(targets, key));
        if (!removed.equals(first)) {
            assertThat(second).isEqualTo(first);
        }
        assertThat(third).isEqualTo(first);
    }

    private static Target selectForKey(RouterFixture fixture, String key) {
        Optional<Choice> choice =
                fixture.router.chooseForKey(key, KeyScope.REGION_FIRST, Set.of(), fixture.now);
        return choice.orElseThrow().target();
    }

    private static Target naiveSelect(List<Target> targets, String key) {
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
            boolean local = random.nextBoolean();
            UpstreamState state = STATES[random.nextInt(STATES.length)];
            targets.add(
                    RouterFixture.target(
                            "node-" + i, local ? HOME : FAR, local ? NORTH : SPIEZ, state));
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
            List<Target> targets, Set<NodeId> excluded, boolean local) {
        Set<NodeId> candidates = new HashSet<>();
        for (Target target : targets) {
            boolean eligible = target.takesNewWork() && !excluded.contains(target.id().node());
            if (eligible && target.region().equals(HOME) == local) {
                candidates.add(target.id().node());
            }
        }
        return candidates;
    }

    /**
     * Expected cost with a service time of 5 ms, a limit of 10, no failures and no network
     * distance.
     */
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
