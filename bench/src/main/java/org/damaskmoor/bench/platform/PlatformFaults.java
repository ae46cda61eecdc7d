package org.damaskmoor.bench.platform;

import org.damaskmoor.bench.http.JsonObject;

/**
 * The fault that the platform stand-in shows at the moment.
 *
 * <p>Invariant: a fault with a duration ends by itself. Not thread safe: one event loop owns it.
 */
public final class PlatformFaults {
    /** How the stand-in misbehaves. */
    public enum Mode {
        NONE,
        /** Answers 503 without effect. */
        DOWN,
        /** Answers late. */
        SLOW,
        /** Takes writes and closes the connection without an answer. */
        LOSE_ANSWERS
    }

    private Mode mode = Mode.NONE;
    private long delayMilliseconds;
    private long endsAtMilliseconds = Long.MAX_VALUE;

    /**
     * Switches to the fault that the JSON object describes.
     *
     * @throws IllegalArgumentException when the mode is unknown
     */
    public void change(JsonObject wanted, long nowMilliseconds) {
        String name = wanted.text("mode", "none");
        mode = Mode.valueOf(name.toUpperCase(java.util.Locale.ROOT).replace('-', '_'));
        delayMilliseconds = (long) wanted.number("delay_milliseconds", 0);
        long duration = (long) wanted.number("for_milliseconds", 0);
        endsAtMilliseconds = duration == 0 ? Long.MAX_VALUE : nowMilliseconds + duration;
    }

    /** Returns the fault in force. */
    public Mode mode(long nowMilliseconds) {
        return nowMilliseconds >= endsAtMilliseconds ? Mode.NONE : mode;
    }

    /** Returns how long answers are held back while slow, in milliseconds. */
    public long delayMilliseconds() {
        return delayMilliseconds;
    }
}
