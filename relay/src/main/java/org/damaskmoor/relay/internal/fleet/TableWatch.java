package org.damaskmoor.relay.internal.fleet;

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
 * Keeps a copy of one table of the store up to date: reads it once, then waits for changes.
 *
 * <p>Confined to the event loop. Invariants: changes are told in the order of the store; after the
 * store has dropped its history, or was lost, the table is read anew, so that it is known at once
 * whether the store answers.
 */
public final class TableWatch {
    /** After a table was read, changes are asked for within this time, whatever the rest. */
    private static final long GREATEST_FIRST_REST_MILLISECONDS = 3000;

    private final String table;
    private final RowStore store;
    private final Timers timers;
    private final RandomGenerator random;
    private final EventLog log;
    private final Listener listener;
    private final Pace pace;
    private final Runnable onRegained;
    private int failures;
    private long question;
    private Optional<Rest> resting = Optional.empty();
    private boolean lost;
    private boolean stopped;

    private record Rest(Timers.Cancellation timer, Runnable next) {
        void end() {
            timer.cancel();
            next.run();
        }
    }

    /** Takes what the table holds. */
    public interface Listener {
        /** All rows, as of now. */
        void onSnapshot(List<StoredRow> rows);

        /** One row was changed or removed. */
        void onChange(StoredRow row);
    }

    /** How closely the store is asked. */
    public interface Pace {
        /** Time between a change and the next question: changes meanwhile cost one call. */
        long restMilliseconds();

        /** Pause after so many failures in a row, the present one included. */
        long pauseMilliseconds(int failures);
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
            Pace pace,
            Runnable onRegained) {
        this.onRegained = onRegained;
        this.pace = pace;
        this.table = table;
        this.store = store;
        this.timers = timers;
        this.random = random;
        this.log = log;
        this.listener = listener;
    }

    /** Begins to read and to watch. */
    public void start() {
        read("", new ArrayList<>());
    }

    /** Ends. */
    public void stop() {
        stopped = true;
    }

    /** Ends the present rest or pause, if there is one, and asks the store now. */
    public void pollNow() {
        Optional<Rest> ended = resting;
        resting = Optional.empty();
        ended.ifPresent(Rest::end);
    }

    /** Whether it waits for the store to tell a change. */
    public boolean isWaiting() {
        return resting.isEmpty() && !lost;
    }

    /** Gives the present question up, as its connection may be silent, and reads anew. */
    public void rereadTable() {
        log.event("store-asked-anew").with("table", table).write();
        resting.ifPresent(rest -> rest.timer().cancel());
        resting = Optional.empty();
        start();
    }

    /** Whether an answer belongs to a question that was given up. */
    private boolean isOutdated(long answered) {
        return stopped || answered != question;
    }

    /** Whether the store did not answer the last time. */
    public boolean isLost() {
        return lost;
    }

    private void read(String fromKey, List<StoredRow> before) {
        question++;
        long asked = question;
        store.read(table, fromKey)
                .whenComplete(
                        (page, failure) -> {
                            if (isOutdated(asked)) {
                                return;
                            }
                            if (failure != null) {
                                onFailure(failure, this::start);
                            } else {
                                onRead(page, before);
                            }
                        });
    }

    private void onRead(RowPage page, List<StoredRow> rows) {
        onHeard();
        rows.addAll(page.rows());
        if (page.more() && !page.rows().isEmpty()) {
            read(rows.get(rows.size() - 1).key() + '\0', rows);
            return;
        }
        listener.onSnapshot(rows);
        long rest = Math.min(pace.restMilliseconds(), GREATEST_FIRST_REST_MILLISECONDS);
        rest(rest, () -> watch(page.version()));
    }

    private void rest(long milliseconds, Runnable next) {
        resting = Optional.of(new Rest(timers.schedule(milliseconds, this::pollNow), next));
    }

    private void watch(long version) {
        if (stopped) {
            return;
        }
        question++;
        long asked = question;
        store.watch(table, version)
                .whenComplete(
                        (page, failure) -> {
                            if (isOutdated(asked)) {
                                return;
                            }
                            if (failure != null) {
                                onFailure(failure, this::start);
                            } else {
                                onHeard();
                                page.rows().forEach(listener::onChange);
                                long next = Math.max(version, page.version());
                                onWatched(page, next);
                            }
                        });
    }

    private void onWatched(RowPage page, long version) {
        if (page.rows().isEmpty()) {
            watch(version);
        } else {
            rest(pace.restMilliseconds(), () -> watch(version));
        }
    }

    private void onFailure(Throwable failure, Runnable next) {
        Throwable cause = failure instanceof CompletionException ? failure.getCause() : failure;
        if (cause instanceof HistoryCompactedException) {
            log.event("history-gone").with("table", table).write();
            start();
            return;
        }
        if (!lost) {
            lost = true;
            log.event("store-lost").with("table", table).with("cause", cause.getMessage()).write();
        }
        failures++;
        long pause = pace.pauseMilliseconds(failures);
        rest(pause / 2 + random.nextLong(pause), next);
    }

    private void onHeard() {
        failures = 0;
        if (lost) {
            lost = false;
            log.event("store-regained").with("table", table).write();
            onRegained.run();
        }
    }
}
