package org.damaskmoor.core.atmostonce;

import org.damaskmoor.core.id.NodeId;
import org.damaskmoor.core.id.TargetId;
import org.damaskmoor.schema.mesh.RefusalReason;

/**
 * What the entry node has to do next for a request. Immutable and thread-safe.
 *
 * <p>Invariant: a request gets exactly one of {@link AnswerCaller}, {@link RefuseCaller} and {@link
 * UnknownToCaller}, or none when its caller is gone.
 */
public sealed interface EntryAction {
    /**
     * Choose a target, call {@link EntryCall#sent} and only when it permits write the call; call
     * {@link EntryCall#noTarget} when there is no target or the retry budget is empty.
     *
     * @param attempt the new attempt
     */
    record Send(AttemptId attempt) implements EntryAction {}

    /**
     * Ask the target over a new connection to seal the request.
     *
     * @param attempt the attempt that got no word
     * @param target the incarnation it was sent to
     */
    record Seal(AttemptId attempt, TargetId target) implements EntryAction {}

    /** Nothing to do but to wait for the next message, timeout or the deadline. */
    record Wait() implements EntryAction {}

    /**
     * Tell a target that its attempt is no longer waited for.
     *
     * @param attempt the attempt
     * @param target the incarnation it was sent to
     */
    record Cancel(AttemptId attempt, TargetId target) implements EntryAction {}

    /**
     * Give the caller the answer of this attempt, whole.
     *
     * @param attempt the attempt that was answered
     */
    record AnswerCaller(AttemptId attempt) implements EntryAction {}

    /**
     * Tell the caller "not run".
     *
     * @param reason why it was not run
     */
    record RefuseCaller(RefusalReason reason) implements EntryAction {}

    /**
     * Tell the caller that it is unknown whether the request ran.
     *
     * @param step where the outcome was lost
     * @param peer the target at which it was lost
     */
    record UnknownToCaller(UnknownOutcomeStep step, NodeId peer) implements EntryAction {}
}
