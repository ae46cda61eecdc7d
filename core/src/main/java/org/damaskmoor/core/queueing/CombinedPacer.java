package org.damaskmoor.core.queueing;

import java.util.List;

/**
 * Paces starts by several limits that hold at the same time, for example a request limit that the
 * upstream names and the limit of its cold start.
 *
 * <p>Invariants: a call starts only if all pacers allow it, and is then counted by each; a call
 * that may not start is counted by none. Not thread-safe.
 */
public final class CombinedPacer implements StartPacer {
    private final List<StartPacer> pacers;

    public CombinedPacer(StartPacer... pacers) {
        this.pacers = List.of(pacers);
    }

    @Override
    public double waitMilliseconds(int callsAhead, long now) {
        double longest = 0;
        for (StartPacer pacer : pacers) {
            longest = Math.max(longest, pacer.waitMilliseconds(callsAhead, now));
        }
        return longest;
    }

    @Override
    public double intervalMilliseconds(long now) {
        double longest = 0;
        for (StartPacer pacer : pacers) {
            longest = Math.max(longest, pacer.intervalMilliseconds(now));
        }
        return longest;
    }

    @Override
    public boolean tryStart(long now) {
        if (waitMilliseconds(0, now) > 0) {
            return false;
        }
        boolean started = true;
        for (StartPacer pacer : pacers) {
            started &= pacer.tryStart(now);
        }
        return started;
    }
}
