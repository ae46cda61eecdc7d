package org.damaskmoor.core.queueing;

/**
 * What becomes of a call that was offered. Immutable and thread-safe.
 *
 * @param kind what to do
 * @param retryAfterMilliseconds when room is expected, for a call that is sent back; else 0
 */
public record QueueDecision(Kind kind, long retryAfterMilliseconds) {
    /** What to do with the call. */
    public enum Kind {
        /** Hand it over now. */
        START,
        /** It waits in the room. */
        WAIT,
        /** It is not to be run here. */
        SEND_BACK
    }

    static final QueueDecision START = new QueueDecision(Kind.START, 0);
    static final QueueDecision WAIT = new QueueDecision(Kind.WAIT, 0);

    static QueueDecision sendBack(long retryAfterMilliseconds) {
        return new QueueDecision(Kind.SEND_BACK, retryAfterMilliseconds);
    }
}
