package org.damaskmoor.bench.demo;

import java.io.PrintStream;
import java.util.EnumMap;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import org.damaskmoor.bench.load.CallRecord;
import org.damaskmoor.bench.load.Outcome;

/** Prints the progress of a run: its steps, and outcome counts at an interval. Thread-safe. */
public final class Progress {
    private final PrintStream out;
    private final long startNanoseconds = System.nanoTime();
    private final Map<Outcome, Long> counts = new EnumMap<>(Outcome.class);
    private final long intervalSeconds;
    private long lastPrintSecond;

    /** Prints outcome counts every second. */
    public Progress(PrintStream out) {
        this(out, 1);
    }

    /**
     * @param intervalSeconds interval between two prints of the outcome counts
     */
    public Progress(PrintStream out, long intervalSeconds) {
        this.out = out;
        this.intervalSeconds = intervalSeconds;
    }

    /** Prints a step with the time since the start. */
    public synchronized void step(String text) {
        out.printf("%5.1f s  %s%n", seconds(), text);
    }

    /** Counts the outcome of a call; prints the counts when the interval has passed. */
    public synchronized void count(CallRecord call) {
        counts.merge(call.outcome(), 1L, Long::sum);
        long second = (long) seconds();
        if (second >= lastPrintSecond + intervalSeconds) {
            lastPrintSecond = second;
            step("outcomes so far " + counts);
        }
    }

    private double seconds() {
        return (System.nanoTime() - startNanoseconds) / (double) TimeUnit.SECONDS.toNanos(1);
    }
}
