package org.damaskmoor.relay.internal.revocation;

import java.util.random.RandomGenerator;
import org.damaskmoor.platform.protocol.ConfigurationDecoder;
import org.damaskmoor.platform.protocol.RowStore;
import org.damaskmoor.relay.internal.log.EventLog;
import org.damaskmoor.relay.internal.time.Timers;

/**
 * Calls the store when a node needs proof of freshness and does not get it from heartbeats: after
 * it was suspended or restarted, while it hears of no reader, and after the store has returned.
 *
 * <p>Confined to the event loop. Invariant: while heartbeats bring proof, a node makes one small
 * call every {@link #REFERENCE_MILLISECONDS} or less often.
 */
public final class FreshnessRefresher {
    /** Interval of the checks; short compared with the 0.6 s between heartbeats. */
    private static final long CHECK_MILLISECONDS = 200;

    /**
     * Time after which the store's clock is related to the own one again. The tolerated drift of
     * 600 ppm makes a proof 180 ms older in this time.
     */
    private static final long REFERENCE_MILLISECONDS = 300_000;

    /** Time for the first read of the configuration, which also relates the clocks. */
    private static final long START_MILLISECONDS = 500;

    private static final long FIRST_BACKOFF_MILLISECONDS = 300;
    private static final long MAX_BACKOFF_MILLISECONDS = 1200;

    /** Least time between two reads of the configuration for the sake of proof. */
    private static final long CATCH_UP_MILLISECONDS = 1000;

    /** A key after all others, so that the page that is read has no rows. */
    private static final String AFTER_ALL_KEYS = "~";

    private final FreshnessTracker tracker;
    private final RowStore store;
    private final Runnable catchUp;
    private final Timers timers;
    private final RandomGenerator random;
    private final EventLog log;
    private boolean held;
    private boolean calling;
    private long backoff = FIRST_BACKOFF_MILLISECONDS;
    private long callNotBefore;
    private long referenceEndsAt;
    private long catchUpNotBefore;

    /**
     * Creates a refresher that has not begun.
     *
     * @param catchUp reads the configuration from the store now, unless it does so already
     */
    public FreshnessRefresher(
            FreshnessTracker tracker,
            RowStore store,
            Runnable catchUp,
            Timers timers,
            RandomGenerator random,
            EventLog log) {
        this.tracker = tracker;
        this.store = store;
        this.catchUp = catchUp;
        this.timers = timers;
        this.random = random;
        this.log = log;
    }

    /** Checks from now on at intervals whether a call is necessary. */
    public void start() {
        callNotBefore = timers.now() + START_MILLISECONDS;
        catchUpNotBefore = timers.now() + CATCH_UP_MILLISECONDS;
        referenceEndsAt = timers.now() + referenceMilliseconds();
        timers.repeat(CHECK_MILLISECONDS, this::check);
    }

    private long referenceMilliseconds() {
        return REFERENCE_MILLISECONDS / 2 + random.nextLong(REFERENCE_MILLISECONDS / 2);
    }

    private void check() {
        if (!tracker.isNeeded()) {
            return;
        }
        long now = timers.now();
        boolean hasReference = tracker.hasReference();
        if (!calling && now >= callNotBefore && (!hasReference || now >= referenceEndsAt)) {
            relateClocks();
        }
        if (hasReference && tracker.isOverdue() && now >= catchUpNotBefore) {
            catchUpNotBefore = now + CATCH_UP_MILLISECONDS + random.nextLong(CATCH_UP_MILLISECONDS);
            catchUp.run();
        }
        logChange(hasReference);
    }

    private void relateClocks() {
        calling = true;
        store.readRow(ConfigurationDecoder.TABLE, AFTER_ALL_KEYS)
                .whenComplete((none, failure) -> onClocksRelated(failure == null));
    }

    private void onClocksRelated(boolean answered) {
        calling = false;
        if (answered) {
            backoff = FIRST_BACKOFF_MILLISECONDS;
            referenceEndsAt = timers.now() + referenceMilliseconds();
        }
        callNotBefore = timers.now() + backoff / 2 + random.nextLong(backoff);
        backoff = Math.min(MAX_BACKOFF_MILLISECONDS, 2 * backoff);
    }

    private void logChange(boolean hasReference) {
        boolean holds = tracker.holdsInForce();
        if (holds == held) {
            return;
        }
        held = holds;
        log.event("freshness-proof")
                .with("holds", holds)
                .with("age_ms", tracker.ageMilliseconds().orElse(-1))
                .with("clock_related", hasReference)
                .write();
    }
}
