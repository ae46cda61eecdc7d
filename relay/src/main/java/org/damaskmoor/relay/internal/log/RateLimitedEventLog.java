package org.damaskmoor.relay.internal.log;

import java.io.PrintStream;
import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.ArrayBlockingQueue;
import java.util.concurrent.locks.LockSupport;
import org.damaskmoor.relay.internal.time.Timers;

/**
 * An event log that writes lines in batches, on a thread of its own.
 *
 * <p>Confined to the event loop, but for the writing thread. Invariants: the event loop never waits
 * for the output; each kind of event has at most {@link #MAX_LINES_PER_SECOND} lines a second;
 * dropped lines are counted in a line of their own.
 */
public final class RateLimitedEventLog implements EventLog {
    /** Lines of one kind a second; enough to follow single requests at ordinary load. */
    private static final int MAX_LINES_PER_SECOND = 200;

    /**
     * Lines that may wait for the writer; about one second's worth when all kinds are at their
     * limit.
     */
    private static final int RING_LINES = 2048;

    private static final long BATCH_MILLISECONDS = 200;
    private static final long SECOND_MILLISECONDS = 1000;
    private static final int TYPICAL_LINE_LENGTH = 160;

    private final Timers timers;
    private final PrintStream output;
    private final ArrayBlockingQueue<String> ring = new ArrayBlockingQueue<>(RING_LINES);
    private final Map<String, Integer> written = new HashMap<>();
    private final Map<String, Integer> dropped = new HashMap<>();
    private final Thread writer;
    private boolean flushScheduled;
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
        resetEachSecond();
        int lines = written.merge(name, 1, Integer::sum);
        if (lines > MAX_LINES_PER_SECOND) {
            dropped.merge(name, 1, Integer::sum);
            return DroppedLine.INSTANCE;
        }
        return new TextLine(name);
    }

    /**
     * Lets the writer write the waiting lines and end. Blocks for a short time, so use it only in a
     * planned stop.
     */
    public void close() {
        closed = true;
        LockSupport.unpark(writer);
        try {
            writer.join(BATCH_MILLISECONDS);
        } catch (InterruptedException interrupted) {
            Thread.currentThread().interrupt();
        }
    }

    private void resetEachSecond() {
        long now = timers.now();
        if (now - secondStartedAt < SECOND_MILLISECONDS) {
            return;
        }
        secondStartedAt = now;
        written.clear();
        Map<String, Integer> reported = Map.copyOf(dropped);
        dropped.clear();
        reported.forEach(
                (name, count) ->
                        new TextLine("lines-left-out")
                                .with("kind", name)
                                .with("count", count)
                                .write());
    }

    private void add(String line) {
        if (!ring.offer(line)) {
            dropped.merge("ring-full", 1, Integer::sum);
        }
        if (!flushScheduled) {
            flushScheduled = true;
            timers.schedule(
                    BATCH_MILLISECONDS,
                    () -> {
                        flushScheduled = false;
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
        private final StringBuilder text = new StringBuilder(TYPICAL_LINE_LENGTH);

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

    private static final class DroppedLine implements Line {
        static final DroppedLine INSTANCE = new DroppedLine();

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
            // Dropped; the log has counted it.
        }
    }
}
