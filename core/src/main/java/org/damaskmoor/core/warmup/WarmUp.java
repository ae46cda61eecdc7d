package org.damaskmoor.core.warmup;

import java.util.ArrayDeque;
import java.util.Optional;
import java.util.function.Supplier;
import org.damaskmoor.core.queueing.StartPacer;
import org.damaskmoor.core.routetable.ColdStart;

/**
 * The warm-up of one upstream: until when it is cold, and how fast calls may start meanwhile.
 *
 * <p>Answers the load pattern of a data centre that comes back as a whole: each of its upstreams
 * accepts a few calls a second for some seconds, and crashes when it gets the share that its slots
 * would allow. It may become cold again at any moment, in the middle of a burst.
 *
 * <p>The upstream's own word counts: the remaining time that it told last. Without a word since it
 * appeared, it is assumed to be cold for the configured time. After a failure that may come from a
 * restart, no call starts until the upstream was asked, or the answer did not come in time. The
 * starts that were made between the moment at which it became cold and the moment at which this
 * became known are charged to the allowance.
 *
 * <p>Invariants: while the upstream is known or assumed to be cold, at most {@code rate * (s +
 * BURST_SECONDS) + 1} calls start in any {@code s} seconds; without a cold limit in the
 * configuration, calls are never delayed. Times are in milliseconds of one monotonic clock. Not
 * thread-safe.
 */
public final class WarmUp implements StartPacer {
    /** Time for which unused starts are kept: a short burst need not wait. */
    private static final double BURST_SECONDS = 0.25;

    /** Longest time for which calls wait for the answer to a health check after a failure. */
    private static final long MAX_CHECK_MILLISECONDS = 400;

    /**
     * Time after the start of the node for which calls wait for the configuration, without which it
     * is unknown whether the service has a cold limit. The store answers sooner; without a store,
     * peers send the configuration, at the latest with their first call.
     */
    private static final long MAX_UNCONFIGURED_MILLISECONDS = 2000;

    /** The tolerated rate is one in a second, so that older starts no longer count. */
    private static final long WINDOW_MILLISECONDS = 1000;

    /** Starts of the last second that are remembered; more than any upstream can run. */
    private static final int MAX_REMEMBERED_STARTS = 512;

    /**
     * Longest believable remaining time as a multiple of the configured one; a longer one is a
     * fault of the upstream.
     */
    private static final int MAX_REMAINING_FACTOR = 2;

    private static final double MILLISECONDS_PER_SECOND = 1000;

    private final Supplier<Optional<ColdStart>> configured;
    private final long createdAt;
    private final ArrayDeque<Long> starts = new ArrayDeque<>();
    private boolean told;
    private long toldRemaining;
    private long coldUntil;
    private long assumedSince;
    private long checkUntil;
    private boolean limiting;
    private double tokens;
    private long refilledAt;

    /**
     * Creates the warm-up of an upstream of which nothing is known: it is assumed to be cold.
     *
     * @param configured the cold start of the upstream's service in the configuration in force;
     *     empty while no configuration is known
     */
    public WarmUp(Supplier<Optional<ColdStart>> configured, long now) {
        this.configured = configured;
        this.createdAt = now;
        this.assumedSince = now;
        this.checkUntil = now;
    }

    /** An upstream has appeared, or is back after it was unreachable: assumes that it is cold. */
    public void onAppeared(long now) {
        assumeCold(now);
        checkUntil = now;
    }

    /**
     * Calls have failed as if the upstream had been restarted, or it got no calls for long: assumes
     * that it is cold, and lets no call start until it was asked.
     */
    public void onSuspected(long now) {
        assumeCold(now);
        checkUntil = now + MAX_CHECK_MILLISECONDS;
    }

    private void assumeCold(long now) {
        limiting = limiting && isCold(now);
        told = false;
        assumedSince = now;
    }

    /** The upstream was asked, whatever the result, or can't be asked. */
    public void onChecked(long now) {
        checkUntil = Math.min(checkUntil, now);
    }

    /**
     * The upstream told for how long it remains cold.
     *
     * @return false if the value is not believable, so that it was ignored
     */
    public boolean onTold(long remainingMilliseconds, long now) {
        ColdStart limits = configured.get().orElse(ColdStart.NONE);
        if (!isBelievable(remainingMilliseconds, limits)) {
            return false;
        }
        limiting = limiting && isCold(now) && remainingMilliseconds > 0;
        told = true;
        toldRemaining = remainingMilliseconds;
        checkUntil = Math.min(checkUntil, now);
        coldUntil = now + remainingMilliseconds;
        if (limits.isLimited() && remainingMilliseconds > 0 && !limiting) {
            long coldFor = limits.durationMilliseconds() - remainingMilliseconds;
            startLimiting(limits, now - Math.max(0, coldFor), now);
        }
        return true;
    }

    private static boolean isBelievable(long remainingMilliseconds, ColdStart limits) {
        long longest = MAX_REMAINING_FACTOR * limits.durationMilliseconds();
        return remainingMilliseconds >= 0
                && (!limits.isLimited() || remainingMilliseconds <= longest);
    }

    /** Whether the upstream is known or assumed to be cold and its service has a cold limit. */
    public boolean isCold(long now) {
        return remainingMilliseconds(now) > 0;
    }

    /**
     * Whether what counts now was told by the upstream, not assumed. A value that came before the
     * configuration is believed or not by the configuration in force.
     */
    public boolean isTold() {
        return told && isBelievable(toldRemaining, configured.get().orElse(ColdStart.NONE));
    }

    /** Time for which the upstream remains cold; 0 if it is not, or has no cold limit. */
    public long remainingMilliseconds(long now) {
        ColdStart limits = configured.get().orElse(ColdStart.NONE);
        if (!limits.isLimited()) {
            return 0;
        }
        long until = isTold() ? coldUntil : assumedSince + limits.durationMilliseconds();
        return Math.max(0, until - now);
    }

    /** Calls a second that may start while the upstream is cold; 0 for no limit. */
    public double callsPerSecond() {
        return configured.get().map(ColdStart::callsPerSecond).orElse(0.0);
    }

    /** Number of calls that were started in the last second. */
    public int recentStarts(long now) {
        removeOldStarts(now);
        return starts.size();
    }

    @Override
    public double waitMilliseconds(int callsAhead, long now) {
        Optional<ColdStart> limits = configured.get();
        if (limits.isEmpty()) {
            return Math.max(0, (double) (createdAt + MAX_UNCONFIGURED_MILLISECONDS - now));
        }
        if (!limits.get().isLimited()) {
            return 0;
        }
        long remaining = remainingMilliseconds(now);
        if (remaining == 0) {
            limiting = false;
            return 0;
        }
        if (!limiting) {
            startLimiting(limits.get(), now, now);
        }
        refill(now);
        double missing = callsAhead + 1 - tokens;
        double rate = limits.get().callsPerSecond();
        double paced = Math.max(0, missing * MILLISECONDS_PER_SECOND / rate);
        return Math.min((double) remaining, Math.max((double) (checkUntil - now), paced));
    }

    @Override
    public double intervalMilliseconds(long now) {
        return isCold(now) ? MILLISECONDS_PER_SECOND / callsPerSecond() : 0;
    }

    @Override
    public boolean tryStart(long now) {
        if (waitMilliseconds(0, now) > 0) {
            return false;
        }
        if (limiting) {
            tokens--;
        }
        if (callsPerSecond() > 0) {
            removeOldStarts(now);
            if (starts.size() < MAX_REMEMBERED_STARTS) {
                starts.addLast(now);
            }
        }
        return true;
    }

    /**
     * Starts to limit calls. The starts since the upstream became cold are charged, at most one
     * second's worth, after which none of them counts any more.
     */
    private void startLimiting(ColdStart limits, long coldSince, long now) {
        limiting = true;
        removeOldStarts(now);
        long charged = starts.stream().filter(at -> at >= coldSince).count();
        double elapsed =
                (double) Math.min(WINDOW_MILLISECONDS, now - coldSince) / MILLISECONDS_PER_SECOND;
        tokens = burst() + Math.min((double) charged, elapsed * limits.callsPerSecond()) - charged;
        tokens = Math.max(tokens, -limits.callsPerSecond());
        refilledAt = now;
    }

    private void refill(long now) {
        tokens += (double) (now - refilledAt) * callsPerSecond() / MILLISECONDS_PER_SECOND;
        tokens = Math.min(tokens, burst());
        refilledAt = now;
    }

    private double burst() {
        return Math.max(1, callsPerSecond() * BURST_SECONDS);
    }

    private void removeOldStarts(long now) {
        while (!starts.isEmpty() && starts.peekFirst() <= now - WINDOW_MILLISECONDS) {
            starts.removeFirst();
        }
    }
}
