package org.damaskmoor.core.waiting;

/**
 * What becomes of a call that was offered. Immutable and thread-safe.
 *
 * @param kind what to do
 * @param retryAfterMilliseconds when room is expected, for a call that is sent back; else 0
 */
public record Verdict(Kind kind, long retryAfterMilliseconds) {
    /** What to do with the call. */
    public enum Kind {
        /** Hand it over now. */
        START,
        /** It waits in the room. */
        WAIT,
        /** It is not to be run here. */
        SEND_BACK
    }

    static final Verdict START = new Verdict(Kind.START, 0);
    static final Verdict WAIT = new Verdict(Kind.WAIT, 0);

    static Verdict sendBack(long retryAfterMilliseconds) {
        return new Verdict(Kind.SEND_BACK, retryAfterMilliseconds);
    }
}
