package org.damaskmoor.core.atmostonce.internal;

import com.google.protobuf.ByteString;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import org.damaskmoor.core.atmostonce.Acceptance;
import org.damaskmoor.core.atmostonce.AcceptanceResult;
import org.damaskmoor.core.atmostonce.CallKey;
import org.damaskmoor.core.atmostonce.CallState;
import org.damaskmoor.core.atmostonce.CancelResult;
import org.damaskmoor.core.atmostonce.HandOverResult;
import org.damaskmoor.core.atmostonce.IdempotencyKey;
import org.damaskmoor.core.atmostonce.LedgerLimits;
import org.damaskmoor.core.atmostonce.TargetLedger;
import org.damaskmoor.core.id.Incarnation;
import org.damaskmoor.core.id.RequestId;
import org.damaskmoor.schema.mesh.SealState;

/**
 * In-memory ledger with a bounded number of entries.
 *
 * <p>Invariants: {@code runsByKey} maps an idempotency key to the only run with it that may have
 * executed here, never to one that certainly did not; the number of entries never exceeds the
 * limit. Not thread-safe.
 */
public final class BoundedTargetLedger implements TargetLedger {
    private final Incarnation ownIncarnation;
    private final LedgerLimits limits;
    private final Map<RequestId, LedgerEntry> entries = new HashMap<>();
    private final Map<IdempotencyKey, LedgerEntry> runsByKey = new HashMap<>();
    private final ExpiryQueue expiry = new ExpiryQueue();
    private final AnswerCache answers;
    private final EntryFences fences;

    public BoundedTargetLedger(Incarnation ownIncarnation, LedgerLimits limits) {
        this.ownIncarnation = Objects.requireNonNull(ownIncarnation, "ownIncarnation");
        this.limits = Objects.requireNonNull(limits, "limits");
        this.answers = new AnswerCache(limits.maximumAnswerBytes());
        this.fences = new EntryFences(limits.maximumFences());
    }

    @Override
    public Acceptance accept(
            CallKey key,
            Incarnation targetIncarnation,
            long deadlineNanoseconds,
            long keepUntilNanoseconds,
            long nowNanoseconds) {
        if (!targetIncarnation.equals(ownIncarnation)) {
            return unknownOutcome(AcceptanceResult.WRONG_INCARNATION, key);
        }
        LedgerEntry existing = entries.get(key.id());
        if (existing != null) {
            return duplicate(existing, keepUntilNanoseconds);
        }
        if (keepUntilNanoseconds <= nowNanoseconds) {
            return unknownOutcome(AcceptanceResult.TOO_LATE, key);
        }
        LedgerEntry run = key.idempotencyKey().map(runsByKey::get).orElse(null);
        if (run != null) {
            return join(run, key, deadlineNanoseconds, keepUntilNanoseconds);
        }
        if (deadlineNanoseconds <= nowNanoseconds) {
            return notQueued(AcceptanceResult.DEADLINE_PASSED, key);
        }
        if (isFull() || fences.isFenced(key.id(), nowNanoseconds)) {
            fences.add(key.id(), keepUntilNanoseconds);
            return notQueued(AcceptanceResult.FULL, key);
        }
        return queue(LedgerEntry.queued(key, deadlineNanoseconds, keepUntilNanoseconds));
    }

    private Acceptance queue(LedgerEntry entry) {
        add(entry);
        entry.idempotencyKey.ifPresent(idempotencyKey -> runsByKey.put(idempotencyKey, entry));
        return acceptance(AcceptanceResult.ACCEPTED, entry);
    }

    private Acceptance duplicate(LedgerEntry existing, long keepUntilNanoseconds) {
        existing.extendRetention(keepUntilNanoseconds);
        if (existing.visibleState() == CallState.SEALED) {
            return acceptance(AcceptanceResult.SEALED_ALREADY, existing);
        }
        AcceptanceResult result =
                existing.isResend() ? AcceptanceResult.JOINED : AcceptanceResult.DUPLICATE;
        return acceptance(result, existing);
    }

    private Acceptance join(
            LedgerEntry run, CallKey key, long deadlineNanoseconds, long keepUntilNanoseconds) {
        if (isFull()) {
            // Without an entry the resend gets no later outcome, and "not run" might be false.
            return new Acceptance(
                    AcceptanceResult.JOINED, run.id, CallState.FAILED, Optional.empty());
        }
        LedgerEntry resend = run.join(key, deadlineNanoseconds, keepUntilNanoseconds);
        add(resend);
        return acceptance(AcceptanceResult.JOINED, resend);
    }

    private void add(LedgerEntry entry) {
        entries.put(entry.id, entry);
        expiry.add(entry);
    }

    private boolean isFull() {
        return entries.size() >= limits.maximumEntries();
    }

    private static Acceptance notQueued(AcceptanceResult result, CallKey key) {
        return new Acceptance(result, key.id(), CallState.REFUSED, Optional.empty());
    }

    private static Acceptance unknownOutcome(AcceptanceResult result, CallKey key) {
        return new Acceptance(result, key.id(), CallState.FAILED, Optional.empty());
    }

    private static Acceptance acceptance(AcceptanceResult result, LedgerEntry entry) {
        return new Acceptance(result, entry.run.id, entry.visibleState(), entry.run.answer);
    }

    @Override
    public HandOverResult handOver(RequestId id, long nowNanoseconds) {
        LedgerEntry entry = findRun(id, CallState.QUEUED);
        if (entry == null) {
            return HandOverResult.NOT_QUEUED;
        }
        if (entry.deadlineNanoseconds <= nowNanoseconds) {
            endWithoutRun(entry, CallState.REFUSED);
            return HandOverResult.DEADLINE_PASSED;
        }
        entry.state = CallState.HANDED_OVER;
        return HandOverResult.RUN;
    }

    @Override
    public boolean returned(RequestId id) {
        LedgerEntry entry = findRun(id, CallState.HANDED_OVER);
        if (entry == null) {
            return false;
        }
        entry.state = CallState.QUEUED;
        return true;
    }

    @Override
    public boolean refuse(RequestId id) {
        LedgerEntry entry = findRun(id, CallState.QUEUED);
        if (entry == null) {
            return false;
        }
        endWithoutRun(entry, CallState.REFUSED);
        return true;
    }

    @Override
    public boolean answered(RequestId id, ByteString answer) {
        LedgerEntry entry = findRun(id, CallState.HANDED_OVER);
        if (entry == null) {
            return false;
        }
        answers.put(entry, answer);
        end(entry, CallState.ANSWERED);
        return true;
    }

    @Override
    public boolean failed(RequestId id) {
        LedgerEntry entry = findRun(id, CallState.HANDED_OVER);
        if (entry == null) {
            return false;
        }
        end(entry, CallState.FAILED);
        return true;
    }

    @Override
    public SealState seal(
            RequestId id,
            Incarnation targetIncarnation,
            long keepUntilNanoseconds,
            long nowNanoseconds) {
        if (!targetIncarnation.equals(ownIncarnation)) {
            return SealState.OTHER_INCARNATION;
        }
        LedgerEntry entry = entries.get(id);
        if (entry == null && keepUntilNanoseconds <= nowNanoseconds) {
            return SealState.OTHER_INCARNATION;
        }
        if (entry == null) {
            addTombstone(id, keepUntilNanoseconds);
            return SealState.SEALED;
        }
        entry.extendRetention(keepUntilNanoseconds);
        if (!entry.isResend() && entry.state == CallState.QUEUED) {
            endWithoutRun(entry, CallState.SEALED);
        }
        return sealState(entry.visibleState());
    }

    private void addTombstone(RequestId id, long keepUntilNanoseconds) {
        if (isFull()) {
            fences.add(id, keepUntilNanoseconds);
        } else {
            add(LedgerEntry.tombstone(id, keepUntilNanoseconds));
        }
    }

    /**
     * Reports a resend of a queued run as handed over, because sealing the resend does not stop the
     * run.
     */
    private static SealState sealState(CallState state) {
        return switch (state) {
            case SEALED, REFUSED -> SealState.SEALED;
            case ANSWERED -> SealState.ANSWERED;
            case QUEUED, HANDED_OVER, FAILED -> SealState.HANDED_OVER;
        };
    }

    @Override
    public CancelResult cancel(RequestId id) {
        LedgerEntry entry = entries.get(id);
        if (entry == null || entry.run.state.isFinal()) {
            return CancelResult.NOTHING_TO_DO;
        }
        if (entry.isResend() || !entry.joined.isEmpty()) {
            return CancelResult.STILL_WANTED;
        }
        if (entry.state == CallState.HANDED_OVER) {
            return CancelResult.RUNNING;
        }
        endWithoutRun(entry, CallState.REFUSED);
        return CancelResult.DROPPED;
    }

    private LedgerEntry findRun(RequestId id, CallState state) {
        LedgerEntry entry = entries.get(id);
        boolean matches = entry != null && !entry.isResend() && entry.state == state;
        return matches ? entry : null;
    }

    private void endWithoutRun(LedgerEntry entry, CallState state) {
        entry.idempotencyKey.ifPresent(idempotencyKey -> runsByKey.remove(idempotencyKey, entry));
        end(entry, state);
    }

    private void end(LedgerEntry entry, CallState state) {
        entry.state = state;
        expiry.onRunEnded(entry);
        for (RequestId resend : entry.joined) {
            expiry.onRunEnded(entries.get(resend));
        }
    }

    @Override
    public void expire(long nowNanoseconds) {
        expiry.removeExpired(nowNanoseconds, this::remove);
        fences.expire(nowNanoseconds);
    }

    private void remove(LedgerEntry entry) {
        entries.remove(entry.id);
        answers.remove(entry);
        entry.idempotencyKey.ifPresent(idempotencyKey -> runsByKey.remove(idempotencyKey, entry));
    }

    @Override
    public Optional<CallState> state(RequestId id) {
        return Optional.ofNullable(entries.get(id)).map(LedgerEntry::visibleState);
    }

    @Override
    public Optional<ByteString> answer(RequestId id) {
        return Optional.ofNullable(entries.get(id)).flatMap(entry -> entry.run.answer);
    }

    @Override
    public List<RequestId> requestsSharingRun(RequestId id) {
        LedgerEntry entry = entries.get(id);
        if (entry == null) {
            return List.of();
        }
        List<RequestId> ids = new ArrayList<>(1 + entry.run.joined.size());
        ids.add(entry.run.id);
        ids.addAll(entry.run.joined);
        return ids;
    }

    @Override
    public int size() {
        return entries.size();
    }
}
