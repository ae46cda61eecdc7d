package org.damaskmoor.core.routing.internal;

import java.util.Set;
import java.util.random.RandomGenerator;
import org.damaskmoor.core.id.NodeId;
import org.damaskmoor.core.routing.Candidate;
import org.damaskmoor.core.routing.Candidates;

/**
 * Draws candidates by a partial Fisher-Yates shuffle of two arrays, own region and remote ones.
 *
 * <p>Allocates nothing while it draws. The arrays stay permutations of themselves, so that a next
 * choice needs no preparation. Not thread-safe.
 */
final class CandidateSampler implements Candidates {
    /** While the region has no headroom, one draw in this many is a remote one. */
    private static final int DRAWS_PER_REMOTE_DRAW = 3;

    private final RandomGenerator random;
    private TargetState[] region = {};
    private TargetState[] remote = {};

    private int drawnFromRegion;
    private int drawnFromRemote;
    private int drawn;
    private boolean remoteToo;
    private boolean remoteAllowed;
    private boolean lastResort;
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
     * Starts a choice.
     *
     * @param withRemote whether remote targets are drawn beside those of the region
     * @param allowRemote whether they may be drawn at all, when the region has none
     */
    void start(Set<NodeId> without, boolean withRemote, boolean allowRemote, long now) {
        excluded = without;
        remoteAllowed = allowRemote;
        remoteToo = withRemote && allowRemote;
        lastResort = false;
        nowNanoseconds = now;
        rewind();
    }

    /** Starts again and draws also targets that are ejected or were not reachable. */
    void startLastResort() {
        lastResort = true;
        rewind();
    }

    @Override
    public Candidate draw() {
        boolean remoteTurn = remoteToo && drawn % DRAWS_PER_REMOTE_DRAW == 2;
        TargetState state = remoteTurn ? drawRemote() : drawRegion();
        if (state == null && drawn == 0) {
            remoteToo = remoteAllowed;
        }
        if (state == null && remoteToo) {
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
        if (lastResort) {
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
