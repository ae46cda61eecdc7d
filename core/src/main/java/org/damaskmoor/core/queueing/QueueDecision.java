package org.damaskmoor.core.queueing;

/**
 * The queue's decision on an offered call. Immutable and thread-safe.
 *
 * @param kind what to do with the call
 * @param retryAfterMilliseconds expected time until the queue accepts calls, for a call that is
 *     sent back; otherwise 0
 */
public record QueueDecision(Kind kind, long retryAfterMilliseconds) {
    /** What to do with the call. */
    public enum Kind {
        /** The call starts now. */
        START,
        /** The call waits in the queue. */
        WAIT,
        /** The call is refused; its entry node may try another target. */
        SEND_BACK
    }

    static final QueueDecision START = new QueueDecision(Kind.START, 0);
    static final QueueDecision WAIT = new QueueDecision(Kind.WAIT, 0);

    static QueueDecision sendBack(long retryAfterMilliseconds) {
        return new QueueDecision(Kind.SEND_BACK, retryAfterMilliseconds);
    }
}
