package org.damaskmoor.bench.demo;

import java.io.PrintStream;
import java.util.EnumMap;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import org.damaskmoor.bench.load.CallRecord;
import org.damaskmoor.bench.load.Outcome;

/** Prints how the demo gets on: its steps, and outcomes once a second. Thread safe. */
final class Progress {
    private final PrintStream out;
    private final long startNanoseconds = System.nanoTime();
    private final Map<Outcome, Long> counts = new EnumMap<>(Outcome.class);
    private long printedSecond;

    Progress(PrintStream out) {
        this.out = out;
    }

    /** Prints one step. */
    synchronized void step(String text) {
        out.printf("%5.1f s  %s%n", seconds(), text);
    }

    /** Counts a record and prints the counts when a second has passed. */
    synchronized void count(CallRecord line) {
        counts.merge(line.outcome(), 1L, Long::sum);
        long second = (long) seconds();
        if (second > printedSecond) {
            printedSecond = second;
            step("outcomes so far " + counts);
        }
    }

    private double seconds() {
        return (System.nanoTime() - startNanoseconds) / (double) TimeUnit.SECONDS.toNanos(1);
    }
}
