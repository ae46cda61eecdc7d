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
 * Routes the requests of one service at one entry node: tracks the state of each target and passes
 * the candidates to a {@link ChoicePolicy}.
 *
 * <p>Invariant: {@code states} holds exactly the targets of the last snapshot, and the sampler's
 * two arrays hold the same targets, split into local region and other regions. Not thread-safe.
 */
public final class ServiceRouter implements Router {
    private static final double EJECTION_FAILURE_RATE = 0.5;

    /** Time that a newly started node takes to learn of the other members. */
    private static final long JOIN_NANOSECONDS = TimeUnit.SECONDS.toNanos(5);

    private final RegionName region;
    private final DataCentreName dataCentre;
    private final RoutingOptions options;
    private final ChoicePolicy policy;
    private final CandidateSampler sampler;
    private final RegionHeadroom headroom = new RegionHeadroom();
    private final Map<RegionName, RegionAverages> averagesByRegion = new HashMap<>();
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
        List<TargetState> local = new ArrayList<>();
        List<TargetState> remote = new ArrayList<>();
        for (Target target : targets) {
            TargetState state = stateFor(target, now);
            if (updated.put(target.id(), state) == null) {
                (state.distance() == Distance.REMOTE ? remote : local).add(state);
            }
        }
        states = updated;
        if (!targetsKnown && !updated.isEmpty()) {
            targetsKnown = true;
            firstKnownAtNanoseconds = now;
        }
        sampler.replace(local.toArray(new TargetState[0]), remote.toArray(new TargetState[0]));
        headroom.invalidate();
    }

    @Override
    public Optional<Choice> choose(RoutingRequest request, Set<NodeId> excluded, long now) {
        headroom.refresh(sampler.region(), sampler.region().length, now);
        boolean remoteAllowed =
                request.remainingNanoseconds() > Distance.REMOTE.roundTripNanoseconds();
        sampler.start(excluded, headroom.isExhausted(), remoteAllowed, now);
        Candidate chosen = policy.choose(sampler, now);
        if (chosen == null) {
            sampler.startLastResort();
            chosen = policy.choose(sampler, now);
        }
        return chosen == null ? Optional.empty() : Optional.of(recordChoice(chosen, now));
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
        return chosen == null ? Optional.empty() : Optional.of(recordChoice(chosen, now));
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
            TargetId target, long elapsed, RefusalReason reason, LoadReport load, long now) {
        TargetState state = states.get(target);
        if (state == null) {
            return;
        }
        state.onEnded(elapsed, now);
        switch (reason) {
            case DRAINING, STALE_INCARNATION -> state.markLeaving();
            case TARGET_UNREACHABLE -> state.onConnectFailed(now);
            case UPSTREAM_UNREACHABLE -> recordFailure(state, now);
            case QUEUE_FULL, OVERLOADED, NODE_BUSY, DEADLINE_TOO_SHORT -> {
                state.onRefusal(now);
                state.onLoadReport(load, now);
            }
            default -> state.onLoadReport(load, now);
        }
    }

    @Override
    public void onFailed(TargetId target, long elapsed, long now) {
        TargetState state = states.get(target);
        if (state != null) {
            state.onEnded(elapsed, now);
            recordFailure(state, now);
        }
    }

    @Override
    public void onAbandoned(TargetId target, long elapsed, long now) {
        TargetState state = states.get(target);
        if (state != null) {
            state.onEnded(elapsed, now);
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
            averagesOf(summary.region()).replace(summary.occupancy(), latency);
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
        List<CandidateEstimate> estimates = new ArrayList<>();
        for (TargetState state : states.values()) {
            estimates.add(
                    new CandidateEstimate(
                            state.target(),
                            state.distance(),
                            (long) state.expectedNanoseconds(now),
                            state.expectedLoad(now),
                            state.share(now),
                            state.isAvailable(now)));
        }
        return estimates;
    }

    @Override
    public boolean isRegionHeadroomExhausted() {
        return headroom.isExhausted();
    }

    private Choice recordChoice(Candidate candidate, long now) {
        TargetState state = (TargetState) candidate;
        state.onChosen(++choices);
        long expected = (long) state.expectedNanoseconds(now);
        return new Choice(state.target(), state.distance(), expected);
    }

    /**
     * Returns the state of a target, which is created for a new target. Targets discovered while
     * this node itself joins do not get a slow start: this node is new, they are not.
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
                        averagesOf(target.region()),
                        options.slowStartNanoseconds());
        boolean joining = !targetsKnown || now - firstKnownAtNanoseconds < JOIN_NANOSECONDS;
        if (!joining || hasRestarted(target)) {
            state.startSlowStart(now);
        }
        return state;
    }

    /** Whether another incarnation of the target's node is known. */
    private boolean hasRestarted(Target target) {
        return states.keySet().stream().anyMatch(id -> id.node().equals(target.id().node()));
    }

    private Distance distanceOf(Target target) {
        if (!target.region().equals(region)) {
            return Distance.REMOTE;
        }
        return target.dataCentre().equals(dataCentre) ? Distance.LOCAL : Distance.REGION;
    }

    private RegionAverages averagesOf(RegionName name) {
        return averagesByRegion.computeIfAbsent(name, unused -> new RegionAverages());
    }

    private void recordFailure(TargetState state, long now) {
        state.onFailure(now);
        if (state.failureRate(now) >= EJECTION_FAILURE_RATE) {
            state.eject(allowance(now), now);
        }
    }

    /** How much more may be ejected, in units of whole targets. */
    private double allowance(long now) {
        double ejected = 0;
        for (TargetState state : states.values()) {
            ejected += 1 - state.share(now);
        }
        return states.size() * options.ejectedPercent() / 100.0 - ejected;
    }
}
