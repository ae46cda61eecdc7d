package org.damaskmoor.relay.internal.fleet;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletionException;
import java.util.random.RandomGenerator;
import org.damaskmoor.platform.protocol.HistoryCompactedException;
import org.damaskmoor.platform.protocol.RowPage;
import org.damaskmoor.platform.protocol.RowStore;
import org.damaskmoor.platform.protocol.StoredRow;
import org.damaskmoor.relay.internal.log.EventLog;
import org.damaskmoor.relay.internal.time.Timers;

/**
 * Follows one table of the store: reads it once, then waits for changes. It rests while the poll
 * policy says that changes are learned from elsewhere.
 *
 * <p>Confined to the event loop. Invariants: changes are reported in the order of the store; after
 * the store has dropped its history, was lost or has returned from an older copy, the whole table
 * is read again, so that it is known at once whether the store answers.
 */
public final class TableWatch {
    /**
     * Upper bound of the delay between reading the table and the first wait for changes, whatever
     * the poll policy says.
     */
    private static final long MAX_FIRST_DELAY_MILLISECONDS = 3000;

    /** Interval at which a resting watch checks whether it must call the store again. */
    private static final long REST_MILLISECONDS = 60_000;

    private final String table;
    private final RowStore store;
    private final Timers timers;
    private final RandomGenerator random;
    private final EventLog log;
    private final Listener listener;
    private final PollPolicy pollPolicy;
    private final Runnable onRegained;
    private int failures;
    private long currentCall;
    private Optional<Delay> pendingDelay = Optional.empty();
    private long answeredAt;
    private boolean paused;
    private boolean reading;
    private boolean storeLost;
    private boolean stopped;

    private record Delay(Timers.Cancellation timer, Runnable next) {
        void end() {
            timer.cancel();
            next.run();
        }
    }

    /**
     * Position of the first page of a read: a row of it may change before the last page is read.
     */
    private record Position(long version, long storeTime) {
        static final Position UNBOUNDED = new Position(Long.MAX_VALUE, Long.MAX_VALUE);

        Position earliest(RowPage page) {
            return new Position(
                    Math.min(version, page.version()),
                    Math.min(storeTime, page.storeTimeMilliseconds()));
        }
    }

    /** Receives the rows of the table and their changes. */
    public interface Listener {
        /** The whole table was read. */
        void onSnapshot(List<StoredRow> rows);

        /**
         * The whole table was read.
         *
         * @param version version of the store up to which the rows contain all changes
         */
        default void onSnapshot(List<StoredRow> rows, long version) {
            onSnapshot(rows);
        }

        /** One row was changed or removed. */
        void onChange(StoredRow row);

        /** All changes up to this time of the store's clock have been reported; 0 if unknown. */
        default void onCurrent(long storeTimeMilliseconds) {}
    }

    /** Delays between calls to the store. */
    public interface PollPolicy {
        /** Delay between a change and the next call; changes meanwhile cost one call together. */
        long pollDelayMilliseconds();

        /** Longest time for which one call may wait for a change. */
        Duration watchWait();

        /**
         * The same for the first call after a pause. The store may have returned from an older copy
         * meanwhile, which only the end of the call tells.
         */
        default Duration watchWaitAfterPause() {
            return watchWait();
        }

        /** Whether changes are learned from elsewhere, so that the store need not be called. */
        boolean isResting();

        /** Backoff after the given number of consecutive failures. */
        long backoffMilliseconds(int failures);
    }

    /**
     * Creates a watch that has not begun.
     *
     * @param onRegained runs when the store answers again after it was lost
     */
    public TableWatch(
            String table,
            RowStore store,
            Timers timers,
            RandomGenerator random,
            EventLog log,
            Listener listener,
            PollPolicy pollPolicy,
            Runnable onRegained) {
        this.onRegained = onRegained;
        this.pollPolicy = pollPolicy;
        this.table = table;
        this.store = store;
        this.timers = timers;
        this.random = random;
        this.log = log;
        this.listener = listener;
    }

    /** Starts to read and to watch the table. */
    public void start() {
        read("", new ArrayList<>(), Position.UNBOUNDED);
    }

    /** Stops; later answers of the store are ignored. */
    public void stop() {
        stopped = true;
    }

    /** Ends the current delay, rest or backoff, if any, and calls the store now. */
    public void pollNow() {
        Optional<Delay> ended = pendingDelay;
        pendingDelay = Optional.empty();
        ended.ifPresent(Delay::end);
    }

    /** Whether a call is waiting for the store to report a change. */
    public boolean isWaiting() {
        return pendingDelay.isEmpty() && !storeLost;
    }

    /**
     * Another node knows a change that this watch has not reported: ends a pause, or abandons a
     * call that waits. Does nothing while the store is lost, since calls are repeated then anyway,
     * and while the table is read: to abandon a read of a slow store only delays what it tells.
     */
    public void catchUp() {
        if (storeLost || reading) {
            return;
        }
        if (pendingDelay.isPresent()) {
            pollNow();
        } else {
            rereadTable();
        }
    }

    /** Abandons the current call, whose connection may have stalled, and reads the table again. */
    public void rereadTable() {
        log.event("store-asked-anew").with("table", table).write();
        pendingDelay.ifPresent(delay -> delay.timer().cancel());
        pendingDelay = Optional.empty();
        start();
    }

    /**
     * The store has returned from an older copy, so that the position of this watch means nothing.
     * Reads the table again, at the end of the rest if this watch rests.
     *
     * @return whether the table is read now
     */
    public boolean onStoreRestored() {
        currentCall++;
        reading = false;
        pendingDelay.ifPresent(delay -> delay.timer().cancel());
        pendingDelay = Optional.empty();
        if (pollPolicy.isResting()) {
            delay(REST_MILLISECONDS, this::start);
            return false;
        }
        start();
        return true;
    }

    /** Whether an answer belongs to an abandoned call. */
    private boolean isStale(long call) {
        return stopped || call != currentCall;
    }

    /** Whether the last call to the store failed. */
    public boolean isLost() {
        return storeLost;
    }

    /** Whether the store has answered a call within the given time in milliseconds. */
    public boolean wasAnsweredWithin(long milliseconds) {
        return timers.now() - answeredAt <= milliseconds;
    }

    private void read(String fromKey, List<StoredRow> rowsSoFar, Position readSince) {
        currentCall++;
        long call = currentCall;
        reading = true;
        store.read(table, fromKey)
                .whenComplete(
                        (page, failure) -> {
                            if (isStale(call)) {
                                return;
                            }
                            reading = false;
                            if (failure != null) {
                                onFailure(failure, this::start);
                            } else {
                                onRead(page, rowsSoFar, readSince.earliest(page));
                            }
                        });
    }

    private void onRead(RowPage page, List<StoredRow> rows, Position readSince) {
        onStoreAnswered();
        rows.addAll(page.rows());
        if (page.more() && !page.rows().isEmpty()) {
            read(rows.get(rows.size() - 1).key() + '\0', rows, readSince);
            return;
        }
        log.event("table-read")
                .with("table", table)
                .with("rows", rows.size())
                .with("version", page.version())
                .with("era", page.era())
                .write();
        reportSnapshot(rows, readSince.version());
        reportCurrent(readSince.storeTime());
        long delay = Math.min(pollPolicy.pollDelayMilliseconds(), MAX_FIRST_DELAY_MILLISECONDS);
        delay(delay, () -> watch(readSince.version()));
    }

    private void delay(long milliseconds, Runnable next) {
        paused = true;
        pendingDelay =
                Optional.of(new Delay(timers.schedule(milliseconds, () -> afterDelay(next)), next));
    }

    private void afterDelay(Runnable next) {
        if (pollPolicy.isResting()) {
            delay(REST_MILLISECONDS, next);
        } else {
            pollNow();
        }
    }

    private void watch(long version) {
        if (stopped) {
            return;
        }
        currentCall++;
        long call = currentCall;
        Duration wait = paused ? pollPolicy.watchWaitAfterPause() : pollPolicy.watchWait();
        paused = false;
        store.watch(table, version, wait)
                .whenComplete(
                        (page, failure) -> {
                            if (isStale(call)) {
                                return;
                            }
                            if (failure != null) {
                                onFailure(failure, this::start);
                            } else {
                                onStoreAnswered();
                                page.rows().forEach(this::report);
                                if (!page.more()) {
                                    reportCurrent(page.storeTimeMilliseconds());
                                }
                                long next = Math.max(version, page.version());
                                onWatched(page, next);
                            }
                        });
    }

    private void onWatched(RowPage page, long version) {
        Runnable next = () -> watch(version);
        if (!page.rows().isEmpty()) {
            delay(pollPolicy.pollDelayMilliseconds(), next);
        } else if (pollPolicy.isResting()) {
            delay(REST_MILLISECONDS, next);
        } else {
            next.run();
        }
    }

    private void onFailure(Throwable failure, Runnable next) {
        Throwable cause = failure instanceof CompletionException ? failure.getCause() : failure;
        if (cause instanceof HistoryCompactedException) {
            log.event("history-gone").with("table", table).write();
            start();
            return;
        }
        if (!storeLost) {
            storeLost = true;
            log.event("store-lost").with("table", table).with("cause", cause.getMessage()).write();
        }
        failures++;
        long backoff = pollPolicy.backoffMilliseconds(failures);
        delay(backoff / 2 + random.nextLong(backoff), next);
    }

    /** Reports a change; one that can't be processed must not end the watch. */
    private void report(StoredRow row) {
        try {
            listener.onChange(row);
        } catch (RuntimeException failure) {
            log.event("row-failed")
                    .with("table", table)
                    .with("key", row.key())
                    .with("cause", failure)
                    .write();
        }
    }

    private void reportSnapshot(List<StoredRow> rows, long version) {
        try {
            listener.onSnapshot(rows, version);
        } catch (RuntimeException failure) {
            log.event("snapshot-failed").with("table", table).with("cause", failure).write();
        }
    }

    private void reportCurrent(long storeTimeMilliseconds) {
        try {
            listener.onCurrent(storeTimeMilliseconds);
        } catch (RuntimeException failure) {
            log.event("current-failed").with("table", table).with("cause", failure).write();
        }
    }

    private void onStoreAnswered() {
        failures = 0;
        answeredAt = timers.now();
        if (storeLost) {
            storeLost = false;
            log.event("store-regained").with("table", table).write();
            onRegained.run();
        }
    }
}
