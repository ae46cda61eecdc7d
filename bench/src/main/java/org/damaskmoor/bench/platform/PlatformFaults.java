package org.damaskmoor.bench.platform;

import org.damaskmoor.bench.http.JsonObject;

/**
 * The fault currently injected into the platform stand-in.
 *
 * <p>Invariant: a fault with a duration expires by itself. Not thread safe: confined to one event
 * loop.
 */
public final class PlatformFaults {
    /** The kind of fault. */
    public enum Mode {
        NONE,
        /** Answers 503 without effect. */
        DOWN,
        /** Answers late. */
        SLOW,
        /** Applies writes and closes the connection without an answer. */
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
    public void change(JsonObject description, long nowMilliseconds) {
        String name = description.text("mode", "none");
        mode = Mode.valueOf(name.toUpperCase(java.util.Locale.ROOT).replace('-', '_'));
        delayMilliseconds = (long) description.number("delay_milliseconds", 0);
        long duration = (long) description.number("for_milliseconds", 0);
        endsAtMilliseconds = duration == 0 ? Long.MAX_VALUE : nowMilliseconds + duration;
    }

    /** Returns the active fault. */
    public Mode mode(long nowMilliseconds) {
        return nowMilliseconds >= endsAtMilliseconds ? Mode.NONE : mode;
    }

    /** Returns the answer delay in {@link Mode#SLOW}, in milliseconds. */
    public long delayMilliseconds() {
        return delayMilliseconds;
    }
}
