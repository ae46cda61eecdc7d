package org.damaskmoor.relay.internal.target;

import org.damaskmoor.core.queueing.AdaptiveConcurrencyLimit;

/**
 * How many calls the upstream gets at once: its slots, fewer where it serves fewer better, and
 * fewer for a while after it has shed calls. Confined to the event loop.
 */
final class UpstreamConcurrencyLimit {
    /** Time after which a shed call lets one more run again. */
    private static final long SHED_MEMORY_MILLISECONDS = 1000;

    private final AdaptiveConcurrencyLimit crowding = new AdaptiveConcurrencyLimit();
    private int shed;
    private long shedAt;

    /** The upstream shed a call. */
    void onShed(long now) {
        shed++;
        shedAt = now;
    }

    /** A call was answered. */
    void onAnswered(TargetCall call, long took) {
        if (call.call.getUsualMilliseconds() > 0 && call.slownessAtStart > 0) {
            double usual = call.call.getUsualMilliseconds() * call.slownessAtStart;
            crowding.onAnswered(call.runningAtStart, took / usual);
        }
    }

    /** The limit for an upstream with so many slots. */
    int limitFor(int slots, long now) {
        if (shed > 0 && now - shedAt >= SHED_MEMORY_MILLISECONDS) {
            shed--;
            shedAt = now;
        }
        return Math.max(1, crowding.limit(slots) - Math.min(shed, slots / 2));
    }
}
