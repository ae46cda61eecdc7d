package org.damaskmoor.core.atmostonce.internal;

import com.google.protobuf.ByteString;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.damaskmoor.core.atmostonce.CallKey;
import org.damaskmoor.core.atmostonce.CallState;
import org.damaskmoor.core.atmostonce.IdempotencyKey;
import org.damaskmoor.core.id.RequestId;

/**
 * One request in the ledger: a run of its own, or a resend that joined an earlier run.
 *
 * <p>Invariant: a resend has no state of its own; {@code run} is never itself a resend, and is kept
 * at least as long as its resends. Not thread-safe.
 */
final class LedgerEntry {
    final RequestId id;
    final Optional<IdempotencyKey> idempotencyKey;
    final LedgerEntry run;

    /** Resends that joined before this run ended. */
    final List<RequestId> joined = new ArrayList<>(0);

    CallState state;
    long deadlineNanoseconds;
    long keepUntilNanoseconds;
    Optional<ByteString> answer = Optional.empty();

    /** Whether the entry left the expiry queue because its run had not ended yet. */
    boolean expiryPending;

    private LedgerEntry(CallKey key, LedgerEntry run, CallState state, long keepUntil) {
        this.id = key.id();
        this.idempotencyKey = key.idempotencyKey();
        this.run = run == null ? this : run;
        this.state = state;
        this.keepUntilNanoseconds = keepUntil;
    }

    static LedgerEntry queued(CallKey key, long deadlineNanoseconds, long keepUntilNanoseconds) {
        LedgerEntry entry = new LedgerEntry(key, null, CallState.QUEUED, keepUntilNanoseconds);
        entry.deadlineNanoseconds = deadlineNanoseconds;
        return entry;
    }

    static LedgerEntry tombstone(RequestId id, long keepUntilNanoseconds) {
        return new LedgerEntry(CallKey.of(id), null, CallState.SEALED, keepUntilNanoseconds);
    }

    /**
     * Joins a resend to this run, extending the run's deadline and keep-until time to the resend's.
     */
    LedgerEntry join(CallKey resend, long deadlineNanoseconds, long keepUntilNanoseconds) {
        this.deadlineNanoseconds = Math.max(this.deadlineNanoseconds, deadlineNanoseconds);
        extendRetention(keepUntilNanoseconds);
        if (!state.isFinal()) {
            joined.add(resend.id());
        }
        return new LedgerEntry(resend, this, CallState.QUEUED, keepUntilNanoseconds);
    }

    void extendRetention(long nanoseconds) {
        keepUntilNanoseconds = Math.max(keepUntilNanoseconds, nanoseconds);
        if (isResend()) {
            run.extendRetention(nanoseconds);
        }
    }

    boolean isResend() {
        return run != this;
    }

    /** Returns the state as seen by this id: a resend of a sealed run was refused, not sealed. */
    CallState visibleState() {
        if (isResend() && run.state == CallState.SEALED) {
            return CallState.REFUSED;
        }
        return run.state;
    }
}
