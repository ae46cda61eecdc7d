package org.damaskmoor.core.atmostonce;

import org.damaskmoor.core.id.NodeId;
import org.damaskmoor.core.id.TargetId;
import org.damaskmoor.schema.mesh.RefusalReason;

/**
 * An action that the entry node must take next for a request. Immutable and thread-safe.
 *
 * <p>Invariant: a request gets exactly one of {@link AnswerCaller}, {@link RefuseCaller} and {@link
 * UnknownToCaller}, or none of them if its caller has disconnected.
 */
public sealed interface EntryAction {
    /**
     * Choose a target, call {@link EntryCall#sent} and write the call only if that returns true;
     * call {@link EntryCall#noTarget} if there is no target or the retry budget is empty.
     *
     * @param attempt the new attempt
     */
    record Send(AttemptId attempt) implements EntryAction {}

    /**
     * Ask the target over a new connection to seal the request.
     *
     * @param attempt the attempt without a response
     * @param target the incarnation it was sent to
     */
    record Seal(AttemptId attempt, TargetId target) implements EntryAction {}

    /** Wait for the next message, a timeout or the deadline. */
    record Wait() implements EntryAction {}

    /**
     * Notify a target that the outcome of its attempt is no longer awaited.
     *
     * @param attempt the attempt
     * @param target the incarnation it was sent to
     */
    record Cancel(AttemptId attempt, TargetId target) implements EntryAction {}

    /**
     * Send the caller the complete answer of this attempt.
     *
     * @param attempt the attempt that was answered
     */
    record AnswerCaller(AttemptId attempt) implements EntryAction {}

    /**
     * Report "not run" to the caller.
     *
     * @param reason why it was not run
     */
    record RefuseCaller(RefusalReason reason) implements EntryAction {}

    /**
     * Report to the caller that it is unknown whether the request ran.
     *
     * @param step the step at which the outcome became unknown
     * @param peer the target whose outcome is unknown
     */
    record UnknownToCaller(UnknownOutcomeStep step, NodeId peer) implements EntryAction {}
}
