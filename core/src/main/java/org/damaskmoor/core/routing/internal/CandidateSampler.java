package org.damaskmoor.core.routing.internal;

import java.util.Set;
import java.util.random.RandomGenerator;
import org.damaskmoor.core.id.NodeId;
import org.damaskmoor.core.routing.Candidate;
import org.damaskmoor.core.routing.Candidates;

/**
 * Draws random candidates by a partial Fisher-Yates shuffle of two arrays, one with the targets of
 * the local region and one with those of other regions.
 *
 * <p>Draws without allocation. Shuffling in place keeps each array a permutation of its targets, so
 * the next choice needs no setup. Not thread-safe.
 */
final class CandidateSampler implements Candidates {
    /** While the region has no headroom, one in this many draws is from another region. */
    private static final int DRAWS_PER_REMOTE_DRAW = 3;

    private final RandomGenerator random;
    private TargetState[] region = {};
    private TargetState[] remote = {};

    private int drawnFromRegion;
    private int drawnFromRemote;
    private int drawn;
    private boolean includeRemote;
    private boolean remoteAllowed;
    private boolean ignoreHealth;
    private Set<NodeId> excluded = Set.of();
    private long nowNanoseconds;

    CandidateSampler(RandomGenerator random) {
        this.random = random;
    }

    void replace(TargetState[] newRegion, TargetState[] newRemote) {
        region = newRegion;
        remote = newRemote;
    }

    TargetState[] region() {
        return region;
    }

    TargetState[] remote() {
        return remote;
    }

    /**
     * Starts a new choice.
     *
     * @param newIncludeRemote whether remote targets are drawn in addition to those of the region
     * @param newRemoteAllowed whether remote targets may be drawn at all, even if the region has no
     *     eligible target
     */
    void start(
            Set<NodeId> newExcluded, boolean newIncludeRemote, boolean newRemoteAllowed, long now) {
        excluded = newExcluded;
        remoteAllowed = newRemoteAllowed;
        includeRemote = newIncludeRemote && newRemoteAllowed;
        ignoreHealth = false;
        nowNanoseconds = now;
        rewind();
    }

    /**
     * Restarts the draw without health checks: ejected targets and those in connect backoff are
     * drawn as well.
     */
    void startLastResort() {
        ignoreHealth = true;
        rewind();
    }

    @Override
    public Candidate draw() {
        boolean remoteTurn = includeRemote && drawn % DRAWS_PER_REMOTE_DRAW == 2;
        TargetState state = remoteTurn ? drawRemote() : drawRegion();
        if (state == null && drawn == 0) {
            includeRemote = remoteAllowed;
        }
        if (state == null && includeRemote) {
            state = remoteTurn ? drawRegion() : drawRemote();
        }
        if (state != null) {
            drawn++;
        }
        return state;
    }

    private TargetState drawRegion() {
        while (drawnFromRegion < region.length) {
            TargetState state = swap(region, drawnFromRegion++);
            if (eligible(state)) {
                return state;
            }
        }
        return null;
    }

    private TargetState drawRemote() {
        while (drawnFromRemote < remote.length) {
            TargetState state = swap(remote, drawnFromRemote++);
            if (eligible(state)) {
                return state;
            }
        }
        return null;
    }

    private TargetState swap(TargetState[] states, int position) {
        int other = position + random.nextInt(states.length - position);
        TargetState state = states[other];
        states[other] = states[position];
        states[position] = state;
        return state;
    }

    private boolean eligible(TargetState state) {
        if (!excluded.isEmpty() && excluded.contains(state.target().id().node())) {
            return false;
        }
        if (ignoreHealth) {
            return state.takesNewWork();
        }
        if (!state.isAvailable(nowNanoseconds)) {
            return false;
        }
        double share = state.share(nowNanoseconds);
        return share >= 1 || random.nextDouble() < share;
    }

    private void rewind() {
        drawnFromRegion = 0;
        drawnFromRemote = 0;
        drawn = 0;
    }
}
