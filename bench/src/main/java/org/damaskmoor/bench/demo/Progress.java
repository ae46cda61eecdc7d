package org.damaskmoor.bench.demo;

import java.io.PrintStream;
import java.util.EnumMap;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import org.damaskmoor.bench.load.CallRecord;
import org.damaskmoor.bench.load.Outcome;

/** Prints how the demo gets on: its steps, and outcomes once a second. Thread safe. */
public final class Progress {
    private final PrintStream out;
    private final long startNanoseconds = System.nanoTime();
    private final Map<Outcome, Long> counts = new EnumMap<>(Outcome.class);
    private final long intervalSeconds;
    private long printedSecond;

    /** Counts are printed every second. */
    public Progress(PrintStream out) {
        this(out, 1);
    }

    /**
     * @param intervalSeconds how often counts are printed
     */
    public Progress(PrintStream out, long intervalSeconds) {
        this.out = out;
        this.intervalSeconds = intervalSeconds;
    }

    /** Prints one step. */
    public synchronized void step(String text) {
        out.printf("%5.1f s  %s%n", seconds(), text);
    }

    /** Counts a record and prints the counts when the interval has passed. */
    public synchronized void count(CallRecord line) {
        counts.merge(line.outcome(), 1L, Long::sum);
        long second = (long) seconds();
        if (second >= printedSecond + intervalSeconds) {
            printedSecond = second;
            step("outcomes so far " + counts);
        }
    }

    private double seconds() {
        return (System.nanoTime() - startNanoseconds) / (double) TimeUnit.SECONDS.toNanos(1);
    }
}
