package org.damaskmoor.core.membership.internal;

import org.damaskmoor.schema.gossip.GossipMessage;
import org.damaskmoor.schema.gossip.Ping;

/**
 * One other region as seen by a node that bridges to it: one random member is probed each interval,
 * and the last few probes decide whether the region as a whole answers.
 *
 * <p>Invariant: at most one probe is under way. Confined to the thread that drives the protocol.
 */
final class RegionProber {
    private static final int PROBES_FOR_UNREACHABLE = 6;
    private static final int PROBES_FOR_REACHABLE = 3;
    private static final long PROBE_INTERVAL_MILLISECONDS = 1_000;

    private final MembershipView group;
    private final String region;
    private long probeSequence = -1;
    private long nextProbeMilliseconds;
    private int failedInRow;
    private int answeredInRow;
    private boolean unreachable;

    RegionProber(MembershipView group, String region, long nowMilliseconds) {
        this.group = group;
        this.region = region;
        nextProbeMilliseconds =
                nowMilliseconds + group.random.nextLong(PROBE_INTERVAL_MILLISECONDS);
    }

    boolean isUnreachable() {
        return unreachable;
    }

    /** Probes when it is time; returns whether the opinion changed. */
    boolean tick(long nowMilliseconds) {
        if (nowMilliseconds < nextProbeMilliseconds) {
            return false;
        }
        nextProbeMilliseconds = nowMilliseconds + PROBE_INTERVAL_MILLISECONDS;
        boolean changed = probeSequence >= 0 && count(false);
        Member target = group.table.randomIn(region, "");
        probeSequence = target == null ? -1 : ping(target);
        return changed;
    }

    private long ping(Member target) {
        Ping.Builder ping = Ping.newBuilder().setTarget(target.id());
        return group.outbox.send(target, GossipMessage.newBuilder().setPing(ping));
    }

    /** Takes in an answer; returns whether the opinion changed. */
    boolean onAcknowledgement(long ofSequence) {
        if (ofSequence != probeSequence) {
            return false;
        }
        probeSequence = -1;
        return count(true);
    }

    void cancelProbe() {
        probeSequence = -1;
    }

    /**
     * Most members are silent when a run of random probes all fail; a single answer after that may
     * be a straggler, a run of answers is not.
     */
    private boolean count(boolean answered) {
        failedInRow = answered ? 0 : failedInRow + 1;
        answeredInRow = answered ? answeredInRow + 1 : 0;
        boolean former = unreachable;
        if (failedInRow >= PROBES_FOR_UNREACHABLE) {
            unreachable = true;
        } else if (answeredInRow >= PROBES_FOR_REACHABLE) {
            unreachable = false;
        }
        return former != unreachable;
    }
}
