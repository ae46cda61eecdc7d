package org.damaskmoor.core.atmostonce;

import java.util.List;
import org.damaskmoor.core.atmostonce.internal.AttemptTrackingEntryCall;
import org.damaskmoor.core.id.RequestId;
import org.damaskmoor.core.id.TargetId;
import org.damaskmoor.schema.mesh.RefusalReason;
import org.damaskmoor.schema.mesh.SealState;

/**
 * One request of a caller at its entry node, over all of its attempts.
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
 * <p>Invariants: a non-idempotent request is sent again only after every attempt so far is proved
 * not to have run; "not run" is told to the caller only then too; the caller is told one outcome at
 * most. Messages of another request, of an attempt that was not sent, and messages that come late
 * or twice are ignored: they return an empty list. Each Send is followed by {@link #sent} or {@link
 * #noTarget}, each Seal by {@link #sealResult} or {@link #sealTimeout}; with {@link #deadline}
 * every request ends.
 *
 * <p>Not thread-safe: one thread owns a request.
 */
public interface EntryCall {
    /** Returns the state machine of a request that was not sent yet. */
    static EntryCall of(RequestId id, boolean nonIdempotent) {
        return new AttemptTrackingEntryCall(id, nonIdempotent);
    }

    /** Starts the request: the first Send. */
    List<EntryAction> begin();

    /** Asks for one more attempt beside those that run; nothing for a non-idempotent request. */
    List<EntryAction> hedge();

    /**
     * Registers an attempt, before its frame is written.
     *
     * @return whether the frame may be written; false when the request ended meanwhile
     */
    boolean sent(AttemptId attempt, TargetId target);

    /** Tells that not one byte of the attempt's frame was written, so that it can't have run. */
    List<EntryAction> notSent(AttemptId attempt, RefusalReason reason);

    /** Answers a Send: no target is left, or the retry budget is empty. */
    List<EntryAction> noTarget(AttemptId attempt, RefusalReason reason);

    /** The target has the call in its ledger. */
    List<EntryAction> accepted(AttemptId attempt);

    /** The target sent the whole answer. */
    List<EntryAction> answered(AttemptId attempt);

    /** The target refused; {@code STALE_INCARNATION} proves nothing about the former one. */
    List<EntryAction> refused(AttemptId attempt, RefusalReason reason);

    /** The target handed the call over and got no whole answer. */
    List<EntryAction> failed(AttemptId attempt);

    /** No acceptance came within its time bound. */
    List<EntryAction> acceptanceTimeout(AttemptId attempt);

    /** The connection was lost over which the attempt's next message was awaited. */
    List<EntryAction> connectionLost(AttemptId attempt);

    /** The target answered a seal request. */
    List<EntryAction> sealResult(AttemptId attempt, SealState state);

    /** A seal request could not be sent, or no answer to it came within its time bound. */
    List<EntryAction> sealTimeout(AttemptId attempt);

    /** The caller's deadline passed. */
    List<EntryAction> deadline();

    /** The caller closed its connection: nothing more is told to it. */
    List<EntryAction> callerDisconnected();

    /** Returns whether the request has ended. */
    boolean isFinished();
}
