package org.damaskmoor.soak.verification;

import java.util.List;
import java.util.Optional;

/** Counts events in windows of a fixed length. Thread-safe: pure functions. */
final class SlidingWindow {
    private SlidingWindow() {}

    /**
     * Returns the fullest window, as text, if it holds more events than allowed.
     *
     * @param times in ascending order, in milliseconds
     */
    static Optional<String> excess(List<Long> times, long milliseconds, double allowed) {
        int first = 0;
        int most = 0;
        int mostUntil = 0;
        for (int i = 0; i < times.size(); i++) {
            while (times.get(i) - times.get(first) >= milliseconds) {
                first++;
            }
            if (i - first + 1 > most) {
                most = i - first + 1;
                mostUntil = i;
            }
        }
        if (most <= allowed) {
            return Optional.empty();
        }
        return Optional.of(
                "from_ms="
                        + times.get(mostUntil - most + 1)
                        + " until_ms="
                        + times.get(mostUntil)
                        + " count="
                        + most
                        + " allowed="
                        + allowed);
    }
}
