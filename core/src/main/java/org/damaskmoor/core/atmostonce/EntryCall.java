package org.damaskmoor.core.atmostonce;

import java.util.List;
import org.damaskmoor.core.atmostonce.internal.AttemptTrackingEntryCall;
import org.damaskmoor.core.id.RequestId;
import org.damaskmoor.core.id.TargetId;
import org.damaskmoor.schema.mesh.RefusalReason;
import org.damaskmoor.schema.mesh.SealState;

/**
 * State machine of one request at its entry node, across all of its attempts.
 *
 * <pre>{@code
 * EntryCall call = EntryCall.of(requestId, nonIdempotent);
 * perform(call.begin()); // a Send: choose a target
 * if (call.sent(attempt, target)) {
 *     mesh.write(target, frame);
 * }
 * perform(call.refused(attempt, RefusalReason.QUEUE_FULL)); // a Send again
 * }</pre>
 *
 * <p>Invariants: a non-idempotent request is sent again, and "not run" is reported to the caller,
 * only if every attempt so far is proved not to have run; the caller receives at most one outcome.
 * Messages for another request or for an attempt that was not sent, late messages and duplicates
 * are ignored: they return an empty list. Each Send must be followed by {@link #sent} or {@link
 * #noTarget}, each Seal by {@link #sealResult} or {@link #sealTimeout}; {@link #deadline} ends
 * every request.
 *
 * <p>Not thread-safe: one thread owns a request.
 */
public interface EntryCall {
    /** Returns the state machine of a request that has not been sent yet. */
    static EntryCall of(RequestId id, boolean nonIdempotent) {
        return new AttemptTrackingEntryCall(id, nonIdempotent);
    }

    /** Starts the request; returns the first Send. */
    List<EntryAction> begin();

    /** Requests one more, parallel attempt; returns nothing for a non-idempotent request. */
    List<EntryAction> hedge();

    /**
     * Registers an attempt, before its frame is written.
     *
     * @return whether the frame may be written; false if the request has ended meanwhile
     */
    boolean sent(AttemptId attempt, TargetId target);

    /** No byte of the attempt's frame was written, so the attempt cannot have run. */
    List<EntryAction> notSent(AttemptId attempt, RefusalReason reason);

    /** Answers a Send: no target is left, or the retry budget is empty. */
    List<EntryAction> noTarget(AttemptId attempt, RefusalReason reason);

    /** The target recorded the call in its ledger. */
    List<EntryAction> accepted(AttemptId attempt);

    /** The target sent the complete answer. */
    List<EntryAction> answered(AttemptId attempt);

    /**
     * The target refused; with {@code STALE_INCARNATION} its previous incarnation may have run it.
     */
    List<EntryAction> refused(AttemptId attempt, RefusalReason reason);

    /** The target handed the call over and received no complete answer. */
    List<EntryAction> failed(AttemptId attempt);

    /** The target did not accept the attempt within the acceptance timeout. */
    List<EntryAction> acceptanceTimeout(AttemptId attempt);

    /** The connection that carries the attempt's messages was lost. */
    List<EntryAction> connectionLost(AttemptId attempt);

    /** The target answered a seal request. */
    List<EntryAction> sealResult(AttemptId attempt, SealState state);

    /** A seal request could not be sent, or was not answered within its timeout. */
    List<EntryAction> sealTimeout(AttemptId attempt);

    /** The caller's deadline passed. */
    List<EntryAction> deadline();

    /** The caller closed its connection; no outcome is reported any more. */
    List<EntryAction> callerDisconnected();

    /** Returns whether the request has ended. */
    boolean isFinished();
}
