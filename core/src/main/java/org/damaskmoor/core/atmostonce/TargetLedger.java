package org.damaskmoor.core.atmostonce;

import com.google.protobuf.ByteString;
import java.util.List;
import java.util.Optional;
import org.damaskmoor.core.atmostonce.internal.BoundedTargetLedger;
import org.damaskmoor.core.id.Incarnation;
import org.damaskmoor.core.id.RequestId;
import org.damaskmoor.schema.mesh.SealState;

/**
 * The target's memory of the calls it got, which makes "not run" a promise.
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
 * <p>Invariants: a request is handed over at most once, unless the upstream truly did not take it
 * ({@link #returned}); only a queued request becomes sealed or refused, and stays so; an entry is
 * dropped only when it has ended and its keep-until time has passed. When no entry is left, a new
 * call is refused, and a fence keeps later copies of it from running: request sequences of an entry
 * incarnation up to the refused one are refused until its keep-until time.
 *
 * <p>All copies of a call and its seals must come with keep-until times that do not depend on when
 * they arrive (made from a deadline that they carry, not from a remaining duration). A call or seal
 * that comes after its own is not judged, because what was known of it may have been dropped.
 *
 * <p>Times are nanoseconds of one monotonic clock. Not thread-safe: one thread owns a ledger.
 */
public interface TargetLedger {
    /** Returns an empty ledger in memory for the given incarnation of this node. */
    static TargetLedger bounded(Incarnation ownIncarnation, LedgerLimits limits) {
        return new BoundedTargetLedger(ownIncarnation, limits);
    }

    /**
     * Records a call that arrived.
     *
     * @param deadlineNanoseconds when the caller stops waiting
     * @param keepUntilNanoseconds deadline plus clock skew; later when a key should be remembered
     */
    Acceptance accept(
            CallKey key,
            Incarnation targetIncarnation,
            long deadlineNanoseconds,
            long keepUntilNanoseconds,
            long nowNanoseconds);

    /** Asks to hand a queued call to the upstream; only {@link HandOverResult#RUN} permits it. */
    HandOverResult handOver(RequestId id, long nowNanoseconds);

    /**
     * Queues a handed-over call again, because the upstream truly did not run it: its connection
     * was refused before a byte was written, or it answered "not run".
     *
     * @return whether it was handed over
     */
    boolean returned(RequestId id);

    /** Refuses a queued call. Returns whether it was queued, so that "not run" may be told. */
    boolean refuse(RequestId id);

    /** Records the serialised answer of a handed-over call. Returns whether it was handed over. */
    boolean answered(RequestId id, ByteString answer);

    /** Records that a handed-over call got no whole answer. Returns whether it was handed over. */
    boolean failed(RequestId id);

    /**
     * Stops a call for good unless it was handed over; an unknown call leaves a tombstone.
     *
     * @return {@code SEALED}: not run and never will; {@code HANDED_OVER}: its outcome follows or
     *     is known as failed; {@code ANSWERED}; {@code OTHER_INCARNATION}: proves nothing, also
     *     when the keep-until time has passed and the call may have been dropped
     */
    SealState seal(
            RequestId id,
            Incarnation targetIncarnation,
            long keepUntilNanoseconds,
            long nowNanoseconds);

    /** Tells that the entry node no longer waits for a call. */
    CancelResult cancel(RequestId id);

    /** Drops what has ended and whose keep-until time has passed. */
    void expire(long nowNanoseconds);

    /** Returns the state of a request as it concerns that id, empty when it is unknown. */
    Optional<CallState> state(RequestId id);

    /** Returns the kept answer that this request gets, empty when there is none. */
    Optional<ByteString> answer(RequestId id);

    /** Returns the ids that get the outcome of this run: its own first, then those that joined. */
    List<RequestId> requestsSharingRun(RequestId id);

    /** Returns the number of entries now kept. */
    int size();
}
