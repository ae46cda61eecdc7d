package org.damaskmoor.core.atmostonce;

import com.google.protobuf.ByteString;
import java.util.List;
import java.util.Optional;
import org.damaskmoor.core.atmostonce.internal.BoundedTargetLedger;
import org.damaskmoor.core.id.Incarnation;
import org.damaskmoor.core.id.RequestId;
import org.damaskmoor.schema.mesh.SealState;

/**
 * A target's record of the calls that it received, which guarantees that a request reported as "not
 * run" never runs here.
 *
 * <pre>{@code
 * TargetLedger ledger = TargetLedger.bounded(ownIncarnation, limits);
 * Acceptance acceptance = ledger.accept(key, incarnation, deadline, keepUntil, now);
 * if (acceptance.result() == AcceptanceResult.ACCEPTED
 *         && ledger.handOver(key.id(), now) == HandOverResult.RUN) {
 *     upstream.send(call).thenAccept(answer -> ledger.answered(key.id(), answer));
 * }
 * }</pre>
 *
 * <p>Invariants: a request is handed over at most once, unless the upstream certainly did not run
 * it ({@link #returned}); only a queued request can become sealed or refused, and both states are
 * final; an entry is removed only after its request has ended and its keep-until time has passed. A
 * full ledger refuses a new call, and a fence prevents later copies of it from running: all request
 * sequences of that entry incarnation up to the refused one are refused until its keep-until time.
 *
 * <p>The keep-until times of all copies of a call and its seals must not depend on when they
 * arrive: derive them from the absolute deadline in the message, not from a remaining duration. A
 * call or seal that arrives after its keep-until time gets no definite result, because its entry
 * may already have been removed.
 *
 * <p>Times are nanoseconds of one monotonic clock. Not thread-safe: one thread owns a ledger.
 */
public interface TargetLedger {
    /** Returns an empty ledger in memory for the given incarnation of this node. */
    static TargetLedger bounded(Incarnation ownIncarnation, LedgerLimits limits) {
        return new BoundedTargetLedger(ownIncarnation, limits);
    }

    /**
     * Records an incoming call.
     *
     * @param deadlineNanoseconds when the caller stops waiting
     * @param keepUntilNanoseconds deadline plus clock skew; later to remember an idempotency key
     */
    Acceptance accept(
            CallKey key,
            Incarnation targetIncarnation,
            long deadlineNanoseconds,
            long keepUntilNanoseconds,
            long nowNanoseconds);

    /**
     * Asks whether to hand a queued call to the upstream; only {@link HandOverResult#RUN} permits
     * it.
     */
    HandOverResult handOver(RequestId id, long nowNanoseconds);

    /**
     * Queues a handed-over call again, because the upstream certainly did not run it: the
     * connection was refused before a byte was written, or the upstream answered "not run".
     *
     * @return whether it was handed over
     */
    boolean returned(RequestId id);

    /** Refuses a queued call. Returns whether it was queued, so that "not run" may be reported. */
    boolean refuse(RequestId id);

    /** Records the serialised answer of a handed-over call. Returns whether it was handed over. */
    boolean answered(RequestId id, ByteString answer);

    /**
     * Records that a handed-over call received no complete answer. Returns whether it was handed
     * over.
     */
    boolean failed(RequestId id);

    /**
     * Prevents a call from ever running unless it was handed over; an unknown call leaves a
     * tombstone.
     *
     * @return {@code SEALED}: the call has not run and never will; {@code HANDED_OVER}: its outcome
     *     follows or it has failed; {@code ANSWERED}: it was answered; {@code OTHER_INCARNATION}:
     *     whether it ran is unknown, which is also the result after the keep-until time, when the
     *     entry may have been removed
     */
    SealState seal(
            RequestId id,
            Incarnation targetIncarnation,
            long keepUntilNanoseconds,
            long nowNanoseconds);

    /** Cancels a call whose outcome the entry node no longer awaits. */
    CancelResult cancel(RequestId id);

    /** Removes ended requests and fences whose keep-until time has passed. */
    void expire(long nowNanoseconds);

    /** Returns the state of a request as seen by that id, empty if it is unknown. */
    Optional<CallState> state(RequestId id);

    /** Returns the cached answer to this request, empty if there is none. */
    Optional<ByteString> answer(RequestId id);

    /**
     * Returns the ids that share this request's run: the run's own id first, then the joined
     * resends.
     */
    List<RequestId> requestsSharingRun(RequestId id);

    /** Returns the current number of entries. */
    int size();
}
