package org.damaskmoor.core.routing;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.damaskmoor.core.id.DataCentreName;
import org.damaskmoor.core.id.Incarnation;
import org.damaskmoor.core.id.NodeId;
import org.damaskmoor.core.id.RegionName;
import org.damaskmoor.core.id.TargetId;
import org.damaskmoor.schema.mesh.LoadReport;
import org.damaskmoor.schema.mesh.UpstreamState;

/** A router in region mittelland, data centre bern-nord, with a manual clock and helper methods. */
final class RouterFixture {
    static final RegionName HOME = new RegionName("mittelland");
    static final RegionName FAR = new RegionName("oberland");
    static final DataCentreName NORTH = new DataCentreName("bern-nord");
    static final DataCentreName SOUTH = new DataCentreName("bern-sued");
    static final DataCentreName SPIEZ = new DataCentreName("spiez");
    static final long MILLISECOND = TimeUnit.MILLISECONDS.toNanos(1);
    static final RoutingRequest REQUEST = new RoutingRequest(false, 5000 * MILLISECOND);

    final Router router;
    long now = Long.MAX_VALUE - 7;

    RouterFixture(long seed, ChoicePolicy policy) {
        this(seed, policy, RoutingOptions.DEFAULT);
    }

    RouterFixture(long seed, ChoicePolicy policy, RoutingOptions options) {
        router = Router.create(HOME, NORTH, options, policy, new Random(seed));
    }

    static RouterFixture expectedCompletion() {
        return new RouterFixture(1, ChoicePolicies.expectedCompletion(4));
    }

    static Target target(
            String node, RegionName region, DataCentreName centre, UpstreamState state) {
        TargetId id = new TargetId(new NodeId(node), new Incarnation(1));
        return new Target(id, region, centre, state, 10);
    }

    static Target near(String node) {
        return target(node, HOME, NORTH, UpstreamState.SERVING);
    }

    static Target far(String node) {
        return target(node, FAR, SPIEZ, UpstreamState.SERVING);
    }

    static List<Target> near(int count) {
        List<Target> targets = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            targets.add(near("node-" + i));
        }
        return targets;
    }

    static LoadReport load(int inFlight, long latencyMilliseconds) {
        return LoadReport.newBuilder()
                .setInFlight(inFlight)
                .setLimit(10)
                .setLatencyMicroseconds((int) (1000 * latencyMilliseconds))
                .setState(UpstreamState.SERVING)
                .build();
    }

    void advance(long milliseconds) {
        now += milliseconds * MILLISECOND;
    }

    Optional<Choice> choose() {
        return router.choose(REQUEST, Set.of(), now);
    }

    void answered(Target target, long latencyMilliseconds, LoadReport load) {
        router.onAnswered(target.id(), latencyMilliseconds * MILLISECOND, load, now);
    }

    /** Counts how often each target is chosen while nothing else changes. */
    Map<Target, Integer> shares(int choices) {
        Map<Target, Integer> shares = new HashMap<>();
        for (int i = 0; i < choices; i++) {
            choose().ifPresent(choice -> shares.merge(choice.target(), 1, Integer::sum));
        }
        return shares;
    }
}
