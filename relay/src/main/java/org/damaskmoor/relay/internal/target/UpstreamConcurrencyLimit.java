package org.damaskmoor.relay.internal.target;

import org.damaskmoor.core.queueing.AdaptiveConcurrencyLimit;

/**
 * Limits how many calls run on the upstream at once: to its slots, to fewer if it has a higher
 * throughput with fewer, and to fewer for a while after it has shed calls. Confined to the event
 * loop.
 */
final class UpstreamConcurrencyLimit {
    /** Interval at which the slots withheld after shed calls are released, one at a time. */
    private static final long SHED_RECOVERY_MILLISECONDS = 1000;

    private final AdaptiveConcurrencyLimit adaptiveLimit = new AdaptiveConcurrencyLimit();
    private int withheldSlots;
    private long withheldAt;

    /** The upstream shed a call. */
    void onShed(long now) {
        withheldSlots++;
        withheldAt = now;
    }

    /** A call was answered. */
    void onAnswered(TargetCall call, long durationMilliseconds) {
        if (call.message.getUsualMilliseconds() > 0 && call.slownessAtStart > 0) {
            double expectedMilliseconds =
                    call.message.getUsualMilliseconds() * call.slownessAtStart;
            adaptiveLimit.onAnswered(
                    call.runningAtStart, durationMilliseconds / expectedMilliseconds);
        }
    }

    /** The current limit for an upstream with the given number of slots. */
    int limitFor(int slots, long now) {
        if (withheldSlots > 0 && now - withheldAt >= SHED_RECOVERY_MILLISECONDS) {
            withheldSlots--;
            withheldAt = now;
        }
        return Math.max(1, adaptiveLimit.limit(slots) - Math.min(withheldSlots, slots / 2));
    }
}
