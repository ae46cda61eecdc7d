package org.damaskmoor.core.egress;

import java.util.HashMap;
import java.util.Map;
import java.util.function.Consumer;
import org.damaskmoor.core.id.ServiceName;

/**
 * Decides whether an entry may send a call of a service to another data centre, and tells whether
 * it has done so for lack of room.
 *
 * <pre>{@code
 * control.onWanted(destination, now);
 * if (control.permits(destination)) {
 *     control.onSent(destination, now);
 * }
 * }</pre>
 *
 * <p>A destination is open until it refuses attempts for lack of room. What is known of it is
 * forgotten after {@link #RETENTION_MILLISECONDS} without attempts, and lost with a restart.
 * Handles a destination whose capacity changes several times within seconds, as seen by an entry
 * that sends it few calls: see {@link EgressLimiter}.
 *
 * <p>Times are in milliseconds of one monotonic clock. Not thread-safe. Invariant: holds at most
 * {@link #MAX_DESTINATIONS} destinations; others are open.
 */
public final class EgressControl {
    /** Time without attempts after which a destination is forgotten. */
    static final long RETENTION_MILLISECONDS = 10_000;

    /** Bound on memory; far more than services times data centres. */
    static final int MAX_DESTINATIONS = 4096;

    /**
     * Time after a call was sent out of the data centre for which the entry counts as exporting;
     * covers the time between two load reports under load.
     */
    public static final long EXPORTING_MILLISECONDS = 500;

    /** Shortest time between two searches for destinations to be forgotten. */
    private static final long SWEEP_INTERVAL_MILLISECONDS = 1000;

    private final Consumer<EgressChange> onChanged;
    private final Map<EgressDestination, EgressLimiter> limiters = new HashMap<>();
    private final Map<ServiceName, Long> exportedAt = new HashMap<>();
    private long sweptAt = Long.MIN_VALUE;

    /**
     * Creates a control without limits.
     *
     * @param onChanged gets each change of a destination
     */
    public EgressControl(Consumer<EgressChange> onChanged) {
        this.onChanged = onChanged;
    }

    /** An attempt would be placed at the destination if it was open. */
    public void onWanted(EgressDestination destination, long now) {
        sweep(now);
        EgressLimiter limiter = limiters.get(destination);
        if (limiter == null) {
            if (limiters.size() >= MAX_DESTINATIONS) {
                return;
            }
            limiter = new EgressLimiter(now);
            limiters.put(destination, limiter);
        }
        boolean limited = limiter.isLimited();
        limiter.onWanted(now);
        reportChange(destination, limiter, limited, now);
    }

    /** Whether an attempt may be sent to the destination now. */
    public boolean permits(EgressDestination destination) {
        EgressLimiter limiter = limiters.get(destination);
        return limiter == null || limiter.permits();
    }

    /**
     * Whether the destination has lately refused attempts for lack of room. Its targets should then
     * queue an attempt if they can, also if another one of them seems better.
     */
    public boolean expectsRefusals(EgressDestination destination, long now) {
        EgressLimiter limiter = limiters.get(destination);
        return limiter != null && limiter.expectsRefusals(now);
    }

    /** An attempt was sent to the destination. */
    public void onSent(EgressDestination destination, long now) {
        EgressLimiter limiter = limiters.get(destination);
        if (limiter != null) {
            limiter.onSent(now);
        }
    }

    /** A target of the destination returned an attempt because another target is better. */
    public void onSentBack(EgressDestination destination, long now) {
        EgressLimiter limiter = limiters.get(destination);
        if (limiter != null) {
            limiter.onSentBack(now);
        }
    }

    /**
     * A target of the destination refused an attempt for lack of room.
     *
     * @param retryAfterMilliseconds time after which it expects room; 0 if it does not tell
     */
    public void onRefused(EgressDestination destination, long retryAfterMilliseconds, long now) {
        EgressLimiter limiter = limiters.get(destination);
        if (limiter != null) {
            boolean limited = limiter.isLimited();
            limiter.onRefused(retryAfterMilliseconds, now);
            reportChange(destination, limiter, limited, now);
        }
    }

    /**
     * A target of the destination answered an attempt.
     *
     * @param hasRoom whether the target has free slots and no queue
     */
    public void onAccepted(EgressDestination destination, boolean hasRoom, long now) {
        EgressLimiter limiter = limiters.get(destination);
        if (limiter != null) {
            limiter.onAccepted(hasRoom, now);
        }
    }

    /** Retry-After of the last refusal by the destination; 0 if none is known. */
    public long retryAfterMilliseconds(EgressDestination destination) {
        EgressLimiter limiter = limiters.get(destination);
        return limiter == null ? 0 : limiter.retryAfterMilliseconds();
    }

    /** A call was sent out of the data centre although that has targets that may run it. */
    public void onExported(ServiceName service, long now) {
        if (exportedAt.size() < MAX_DESTINATIONS || exportedAt.containsKey(service)) {
            exportedAt.put(service, now);
        }
    }

    /** Whether calls of the service were lately sent out of the data centre for lack of room. */
    public boolean isExporting(ServiceName service, long now) {
        Long last = exportedAt.get(service);
        return last != null && now - last < EXPORTING_MILLISECONDS;
    }

    /** Number of destinations that are held. */
    int size() {
        return limiters.size();
    }

    private void sweep(long now) {
        if (sweptAt != Long.MIN_VALUE && now - sweptAt < SWEEP_INTERVAL_MILLISECONDS) {
            return;
        }
        sweptAt = now;
        limiters.values().removeIf(known -> now - known.usedAt() >= RETENTION_MILLISECONDS);
        exportedAt.values().removeIf(last -> now - last >= EXPORTING_MILLISECONDS);
    }

    private void reportChange(
            EgressDestination destination, EgressLimiter limiter, boolean before, long now) {
        if (limiter.isLimited() != before) {
            onChanged.accept(
                    new EgressChange(
                            destination,
                            limiter.isLimited(),
                            limiter.sentPerSecond(now),
                            limiter.wantedPerSecond(now),
                            limiter.refusalsOfLastSecond(now),
                            limiter.acceptancesOfLastSecond(now)));
        }
    }
}
