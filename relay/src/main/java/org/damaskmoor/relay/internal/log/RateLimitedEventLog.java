package org.damaskmoor.relay.internal.log;

import java.io.PrintStream;
import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.ArrayBlockingQueue;
import java.util.concurrent.locks.LockSupport;
import org.damaskmoor.relay.internal.time.Timers;

/**
 * Hands lines to a thread that writes them, in batches.
 *
 * <p>Confined to the event loop, but for the writing thread. Invariants: the event loop never waits
 * for the output; each kind of event has at most {@link #MOST_LINES_PER_SECOND} lines a second;
 * what is left out is counted in a line of its own.
 */
public final class RateLimitedEventLog implements EventLog {
    /** Lines of one kind in a second; enough to follow single requests in ordinary load. */
    private static final int MOST_LINES_PER_SECOND = 200;

    /** Lines that wait for the writer; about one second of them at the bound of all kinds. */
    private static final int RING_LINES = 2048;

    private static final long BATCH_MILLISECONDS = 200;
    private static final long SECOND = 1000;
    private static final int USUAL_LINE_LENGTH = 160;

    private final Timers timers;
    private final PrintStream output;
    private final ArrayBlockingQueue<String> ring = new ArrayBlockingQueue<>(RING_LINES);
    private final Map<String, Integer> written = new HashMap<>();
    private final Map<String, Integer> leftOut = new HashMap<>();
    private final Thread writer;
    private boolean flushPlanned;
    private long secondStartedAt;
    private volatile boolean closed;

    public RateLimitedEventLog(Timers timers, PrintStream output) {
        this.timers = timers;
        this.output = output;
        this.writer = new Thread(this::run, "log");
        writer.setDaemon(true);
        writer.start();
    }

    @Override
    public Line event(String name) {
        countSecond();
        int lines = written.merge(name, 1, Integer::sum);
        if (lines > MOST_LINES_PER_SECOND) {
            leftOut.merge(name, 1, Integer::sum);
            return NoLine.INSTANCE;
        }
        return new TextLine(name);
    }

    /** Writes what waits and ends. Waits for the writer, for a planned stop only. */
    public void close() {
        closed = true;
        LockSupport.unpark(writer);
        try {
            writer.join(BATCH_MILLISECONDS);
        } catch (InterruptedException interrupted) {
            Thread.currentThread().interrupt();
        }
    }

    private void countSecond() {
        long now = timers.now();
        if (now - secondStartedAt < SECOND) {
            return;
        }
        secondStartedAt = now;
        written.clear();
        Map<String, Integer> told = Map.copyOf(leftOut);
        leftOut.clear();
        told.forEach(
                (name, count) ->
                        new TextLine("lines-left-out")
                                .with("kind", name)
                                .with("count", count)
                                .write());
    }

    private void add(String line) {
        if (!ring.offer(line)) {
            leftOut.merge("ring-full", 1, Integer::sum);
        }
        if (!flushPlanned) {
            flushPlanned = true;
            timers.schedule(
                    BATCH_MILLISECONDS,
                    () -> {
                        flushPlanned = false;
                        LockSupport.unpark(writer);
                    });
        }
    }

    private void run() {
        while (!closed) {
            LockSupport.park(this);
            writeAll();
        }
        writeAll();
    }

    private void writeAll() {
        StringBuilder batch = new StringBuilder();
        for (String line = ring.poll(); line != null; line = ring.poll()) {
            batch.append(line).append('\n');
        }
        if (batch.length() > 0) {
            output.print(batch);
            output.flush();
        }
    }

    private final class TextLine implements Line {
        private final StringBuilder text = new StringBuilder(USUAL_LINE_LENGTH);

        TextLine(String name) {
            text.append("time=").append(System.currentTimeMillis()).append(" event=").append(name);
        }

        @Override
        public Line with(String key, Object value) {
            String written = String.valueOf(value);
            text.append(' ').append(key).append('=');
            if (written.indexOf(' ') < 0 && written.indexOf('\n') < 0) {
                text.append(written);
            } else {
                text.append('"').append(written.replace('\n', ' ').replace('"', '\'')).append('"');
            }
            return this;
        }

        @Override
        public Line with(String key, long value) {
            text.append(' ').append(key).append('=').append(value);
            return this;
        }

        @Override
        public void write() {
            add(text.toString());
        }
    }

    private static final class NoLine implements Line {
        static final NoLine INSTANCE = new NoLine();

        @Override
        public Line with(String key, Object value) {
            return this;
        }

        @Override
        public Line with(String key, long value) {
            return this;
        }

        @Override
        public void write() {
            // Left out; counted by the log.
        }
    }
}
