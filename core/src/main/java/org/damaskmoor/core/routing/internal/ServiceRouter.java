package org.damaskmoor.core.routing.internal;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.random.RandomGenerator;
import org.damaskmoor.core.hash.StableHash;
import org.damaskmoor.core.id.DataCentreName;
import org.damaskmoor.core.id.NodeId;
import org.damaskmoor.core.id.RegionName;
import org.damaskmoor.core.id.TargetId;
import org.damaskmoor.core.load.RegionSummary;
import org.damaskmoor.core.routing.Candidate;
import org.damaskmoor.core.routing.CandidateEstimate;
import org.damaskmoor.core.routing.Choice;
import org.damaskmoor.core.routing.ChoicePolicy;
import org.damaskmoor.core.routing.Distance;
import org.damaskmoor.core.routing.KeyScope;
import org.damaskmoor.core.routing.Router;
import org.damaskmoor.core.routing.RoutingOptions;
import org.damaskmoor.core.routing.RoutingRequest;
import org.damaskmoor.core.routing.Target;
import org.damaskmoor.schema.mesh.LoadReport;
import org.damaskmoor.schema.mesh.RefusalReason;

/**
 * The router of one service at one entry node. Hands the candidates to a {@link ChoicePolicy} and
 * keeps what is known of each target.
 *
 * <p>Invariant: {@code states} holds exactly the targets of the last snapshot, and the sampler's
 * two arrays hold the same, divided by region. Not thread-safe.
 */
public final class ServiceRouter implements Router {
    private static final double FAILING_FROM_RATE = 0.5;

    /** Time in which a node that has just started gets to know the other members. */
    private static final long JOINING_NANOSECONDS = TimeUnit.SECONDS.toNanos(5);

    private final RegionName region;
    private final DataCentreName dataCentre;
    private final RoutingOptions options;
    private final ChoicePolicy policy;
    private final CandidateSampler sampler;
    private final RegionHeadroom headroom = new RegionHeadroom();
    private final Map<RegionName, RegionAverages> priors = new HashMap<>();
    private Map<TargetId, TargetState> states = new HashMap<>();
    private boolean targetsKnown;
    private long firstKnownAtNanoseconds;
    private long choices;

    public ServiceRouter(
            RegionName region,
            DataCentreName dataCentre,
            RoutingOptions options,
            ChoicePolicy policy,
            RandomGenerator random) {
        this.region = region;
        this.dataCentre = dataCentre;
        this.options = options;
        this.policy = policy;
        this.sampler = new CandidateSampler(random);
    }

    @Override
    public void updateTargets(Collection<Target> targets, long now) {
        Map<TargetId, TargetState> updated = new HashMap<>();
        List<TargetState> near = new ArrayList<>();
        List<TargetState> far = new ArrayList<>();
        for (Target target : targets) {
            TargetState state = stateFor(target, now);
            if (updated.put(target.id(), state) == null) {
                (state.distance() == Distance.REMOTE ? far : near).add(state);
            }
        }
        states = updated;
        if (!targetsKnown && !updated.isEmpty()) {
            targetsKnown = true;
            firstKnownAtNanoseconds = now;
        }
        sampler.replace(near.toArray(new TargetState[0]), far.toArray(new TargetState[0]));
        headroom.invalidate();
    }

    @Override
    public Optional<Choice> choose(RoutingRequest request, Set<NodeId> excluded, long now) {
        headroom.refresh(sampler.region(), sampler.region().length, now);
        boolean remoteInTime =
                request.remainingNanoseconds() > Distance.REMOTE.roundTripNanoseconds();
        sampler.start(excluded, headroom.isExhausted(), remoteInTime, now);
        Candidate chosen = policy.choose(sampler, now);
        if (chosen == null) {
            sampler.startLastResort();
            chosen = policy.choose(sampler, now);
        }
        return chosen == null ? Optional.empty() : Optional.of(taken(chosen, now));
    }

    @Override
    public Optional<Choice> chooseForKey(
            String key, KeyScope scope, Set<NodeId> excluded, long now) {
        long keyHash = StableHash.of(key);
        TargetState chosen = RendezvousHashing.select(sampler.region(), keyHash, excluded);
        if (chosen == null || scope == KeyScope.ALL_REGIONS) {
            TargetState remote = RendezvousHashing.select(sampler.remote(), keyHash, excluded);
            chosen = RendezvousHashing.higherRanked(chosen, remote, keyHash);
        }
        return chosen == null ? Optional.empty() : Optional.of(taken(chosen, now));
    }

    @Override
    public void onSent(TargetId target, long now) {
        TargetState state = states.get(target);
        if (state != null) {
            state.onSent(now);
        }
    }

    @Override
    public void onAnswered(TargetId target, long latency, LoadReport load, long now) {
        TargetState state = states.get(target);
        if (state != null) {
            state.onEnded(latency, now);
            state.onSuccess(now);
            state.onLoadReport(load, now);
        }
    }

    @Override
    public void onRefused(
            TargetId target, long waited, RefusalReason reason, LoadReport load, long now) {
        TargetState state = states.get(target);
        if (state == null) {
            return;
        }
        state.onEnded(waited, now);
        switch (reason) {
            case DRAINING, STALE_INCARNATION -> state.markLeaving();
            case TARGET_UNREACHABLE -> state.onConnectFailed(now);
            case UPSTREAM_UNREACHABLE -> failed(state, now);
            case QUEUE_FULL, OVERLOADED, NODE_BUSY, DEADLINE_TOO_SHORT -> {
                state.onRefusal(now);
                state.onLoadReport(load, now);
            }
            default -> state.onLoadReport(load, now);
        }
    }

    @Override
    public void onFailed(TargetId target, long waited, long now) {
        TargetState state = states.get(target);
        if (state != null) {
            state.onEnded(waited, now);
            failed(state, now);
        }
    }

    @Override
    public void onAbandoned(TargetId target, long waited, long now) {
        TargetState state = states.get(target);
        if (state != null) {
            state.onEnded(waited, now);
        }
    }

    @Override
    public void onLoadReport(TargetId target, LoadReport load, long now) {
        TargetState state = states.get(target);
        if (state != null) {
            state.onLoadReport(load, now);
        }
    }

    @Override
    public void onRegionSummary(RegionSummary summary, long now) {
        if (!summary.region().equals(region)) {
            double latency = TimeUnit.MICROSECONDS.toNanos(summary.latencyMicroseconds());
            priorOf(summary.region()).replace(summary.occupancy(), latency);
        }
    }

    @Override
    public void onUnreachable(TargetId target, long now) {
        TargetState state = states.get(target);
        if (state != null) {
            state.onConnectFailed(now);
        }
    }

    @Override
    public List<CandidateEstimate> explain(long now) {
        List<CandidateEstimate> weights = new ArrayList<>();
        for (TargetState state : states.values()) {
            weights.add(
                    new CandidateEstimate(
                            state.target(),
                            state.distance(),
                            (long) state.expectedNanoseconds(now),
                            state.expectedLoad(now),
                            state.share(now),
                            state.isAvailable(now)));
        }
        return weights;
    }

    @Override
    public boolean isRegionHeadroomExhausted() {
        return headroom.isExhausted();
    }

    private Choice taken(Candidate candidate, long now) {
        TargetState state = (TargetState) candidate;
        state.onChosen(++choices);
        long expected = (long) state.expectedNanoseconds(now);
        return new Choice(state.target(), state.distance(), expected);
    }

    /**
     * Targets that become known while this node itself joins are not cold: it is this node that is
     * new, not they.
     */
    private TargetState stateFor(Target target, long now) {
        TargetState known = states.get(target.id());
        if (known != null) {
            known.update(target, now);
            return known;
        }
        TargetState state =
                new TargetState(
                        target,
                        distanceOf(target),
                        priorOf(target.region()),
                        options.slowStartNanoseconds());
        boolean joining = !targetsKnown || now - firstKnownAtNanoseconds < JOINING_NANOSECONDS;
        if (!joining || hasRestarted(target)) {
            state.startSlowStart(now);
        }
        return state;
    }

    /** Whether another incarnation of the target's node was known until now. */
    private boolean hasRestarted(Target target) {
        return states.keySet().stream().anyMatch(id -> id.node().equals(target.id().node()));
    }

    private Distance distanceOf(Target target) {
        if (!target.region().equals(region)) {
            return Distance.REMOTE;
        }
        return target.dataCentre().equals(dataCentre) ? Distance.LOCAL : Distance.REGION;
    }

    private RegionAverages priorOf(RegionName name) {
        return priors.computeIfAbsent(name, unused -> new RegionAverages());
    }

    private void failed(TargetState state, long now) {
        state.onFailure(now);
        if (state.failureRate(now) >= FAILING_FROM_RATE) {
            state.eject(allowance(now), now);
        }
    }

    /** What may still be ejected, in whole targets. */
    private double allowance(long now) {
        double ejected = 0;
        for (TargetState state : states.values()) {
            ejected += 1 - state.share(now);
        }
        return states.size() * options.ejectedPercent() / 100.0 - ejected;
    }
}
