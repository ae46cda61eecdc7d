package org.damaskmoor.core.membership.internal;

import org.damaskmoor.schema.gossip.GossipMessage;
import org.damaskmoor.schema.gossip.Ping;

/**
 * Probes one other region from a bridge node: one random member per interval. The results of the
 * last few probes decide whether the region is reachable.
 *
 * <p>Invariant: at most one probe is in progress. Not thread-safe; used on the protocol thread.
 */
final class RegionProber {
    private static final int FAILURES_UNTIL_UNREACHABLE = 6;
    private static final int ANSWERS_UNTIL_REACHABLE = 3;
    private static final long PROBE_INTERVAL_MILLISECONDS = 1_000;

    private final MembershipView view;
    private final String region;
    private long probeSequence = -1;
    private long nextProbeMilliseconds;
    private int consecutiveFailures;
    private int consecutiveAnswers;
    private boolean unreachable;

    RegionProber(MembershipView view, String region, long nowMilliseconds) {
        this.view = view;
        this.region = region;
        nextProbeMilliseconds = nowMilliseconds + view.random.nextLong(PROBE_INTERVAL_MILLISECONDS);
    }

    boolean isUnreachable() {
        return unreachable;
    }

    /** Sends a probe when one is due; returns whether the opinion changed. */
    boolean tick(long nowMilliseconds) {
        if (nowMilliseconds < nextProbeMilliseconds) {
            return false;
        }
        nextProbeMilliseconds = nowMilliseconds + PROBE_INTERVAL_MILLISECONDS;
        boolean changed = probeSequence >= 0 && count(false);
        Member target = view.table.randomIn(region, "");
        probeSequence = target == null ? -1 : ping(target);
        return changed;
    }

    private long ping(Member target) {
        Ping.Builder ping = Ping.newBuilder().setTarget(target.id());
        return view.messageSender.send(target, GossipMessage.newBuilder().setPing(ping));
    }

    /** Processes an answer; returns whether the opinion changed. */
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
     * Counts a probe result; returns whether the opinion changed. Consecutive failures of random
     * probes mean that most members do not answer. A single answer after that may be a late one, so
     * consecutive answers are required.
     */
    private boolean count(boolean answered) {
        consecutiveFailures = answered ? 0 : consecutiveFailures + 1;
        consecutiveAnswers = answered ? consecutiveAnswers + 1 : 0;
        boolean previous = unreachable;
        if (consecutiveFailures >= FAILURES_UNTIL_UNREACHABLE) {
            unreachable = true;
        } else if (consecutiveAnswers >= ANSWERS_UNTIL_REACHABLE) {
            unreachable = false;
        }
        return previous != unreachable;
    }
}
