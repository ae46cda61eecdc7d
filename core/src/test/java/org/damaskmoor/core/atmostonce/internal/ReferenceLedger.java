package org.damaskmoor.core.atmostonce.internal;

import com.google.protobuf.ByteString;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import org.damaskmoor.core.atmostonce.AcceptanceResult;
import org.damaskmoor.core.atmostonce.CallKey;
import org.damaskmoor.core.atmostonce.CallState;
import org.damaskmoor.core.atmostonce.CancelResult;
import org.damaskmoor.core.atmostonce.HandOverResult;
import org.damaskmoor.core.atmostonce.IdempotencyKey;
import org.damaskmoor.core.id.RequestId;
import org.damaskmoor.schema.mesh.SealState;

/**
 * Reference implementation of the ledger: unbounded maps with linear search, without expiry queue
 * or fences.
 */
final class ReferenceLedger {
    private final Map<RequestId, Entry> entries = new HashMap<>();

    /** One request; {@code joined} is the run that a resend joined. */
    private static final class Entry {
        Optional<IdempotencyKey> key = Optional.empty();
        Optional<RequestId> joined = Optional.empty();
        CallState state = CallState.QUEUED;
        long deadline;
        long keepUntil;
    }

    AcceptanceResult accept(CallKey key, long deadline, long keepUntil, long now) {
        Entry known = entries.get(key.id());
        if (known != null) {
            keep(key.id(), keepUntil);
            return duplicateResult(key.id(), known);
        }
        if (keepUntil <= now) {
            return AcceptanceResult.TOO_LATE;
        }
        Optional<RequestId> run = runOf(key);
        if (run.isEmpty() && deadline <= now) {
            return AcceptanceResult.DEADLINE_PASSED;
        }
        Entry added = new Entry();
        added.key = key.idempotencyKey();
        added.joined = run;
        added.deadline = deadline;
        entries.put(key.id(), added);
        keep(key.id(), keepUntil);
        run.ifPresent(
                id -> entries.get(id).deadline = Math.max(deadline, entries.get(id).deadline));
        return run.isPresent() ? AcceptanceResult.JOINED : AcceptanceResult.ACCEPTED;
    }

    private AcceptanceResult duplicateResult(RequestId id, Entry known) {
        if (known.joined.isPresent()) {
            return AcceptanceResult.JOINED;
        }
        boolean sealed = state(id).orElseThrow() == CallState.SEALED;
        return sealed ? AcceptanceResult.SEALED_ALREADY : AcceptanceResult.DUPLICATE;
    }

    private Optional<RequestId> runOf(CallKey key) {
        if (key.idempotencyKey().isEmpty()) {
            return Optional.empty();
        }
        return entries.entrySet().stream()
                .filter(entry -> entry.getValue().key.equals(key.idempotencyKey()))
                .filter(entry -> entry.getValue().joined.isEmpty())
                .filter(entry -> !entry.getValue().state.isNotRun())
                .map(Map.Entry::getKey)
                .findFirst();
    }

    private void keep(RequestId id, long keepUntil) {
        Entry existing = entries.get(id);
        existing.keepUntil = Math.max(existing.keepUntil, keepUntil);
        existing.joined.ifPresent(run -> keep(run, keepUntil));
    }

    HandOverResult handOver(RequestId id, long now) {
        if (!isRun(id, CallState.QUEUED)) {
            return HandOverResult.NOT_QUEUED;
        }
        Entry existing = entries.get(id);
        boolean late = existing.deadline <= now;
        existing.state = late ? CallState.REFUSED : CallState.HANDED_OVER;
        return late ? HandOverResult.DEADLINE_PASSED : HandOverResult.RUN;
    }

    boolean transition(RequestId id, CallState from, CallState to) {
        boolean matches = isRun(id, from);
        if (matches) {
            entries.get(id).state = to;
        }
        return matches;
    }

    private boolean isRun(RequestId id, CallState state) {
        Entry existing = entries.get(id);
        return existing != null && existing.joined.isEmpty() && existing.state == state;
    }

    SealState seal(RequestId id, long keepUntil, long now) {
        if (!entries.containsKey(id)) {
            if (keepUntil <= now) {
                return SealState.OTHER_INCARNATION;
            }
            entries.put(id, new Entry());
        }
        keep(id, keepUntil);
        transition(id, CallState.QUEUED, CallState.SEALED);
        return switch (state(id).orElseThrow()) {
            case SEALED, REFUSED -> SealState.SEALED;
            case ANSWERED -> SealState.ANSWERED;
            default -> SealState.HANDED_OVER;
        };
    }

    CancelResult cancel(RequestId id) {
        Optional<CallState> state = state(id);
        if (state.isEmpty() || state.get().isFinal()) {
            return CancelResult.NOTHING_TO_DO;
        }
        Optional<RequestId> own = Optional.of(id);
        boolean shared =
                entries.values().stream().anyMatch(existing -> existing.joined.equals(own));
        if (shared || entries.get(id).joined.isPresent()) {
            return CancelResult.STILL_WANTED;
        }
        boolean dropped = transition(id, CallState.QUEUED, CallState.REFUSED);
        return dropped ? CancelResult.DROPPED : CancelResult.RUNNING;
    }

    void expire(long now) {
        Map<RequestId, Optional<CallState>> states = new HashMap<>();
        entries.keySet().forEach(id -> states.put(id, state(id)));
        entries.entrySet()
                .removeIf(
                        entry ->
                                entry.getValue().keepUntil <= now
                                        && states.get(entry.getKey()).orElseThrow().isFinal());
    }

    Optional<CallState> state(RequestId id) {
        Entry existing = entries.get(id);
        if (existing == null) {
            return Optional.empty();
        }
        if (existing.joined.isEmpty()) {
            return Optional.of(existing.state);
        }
        CallState run = entries.get(existing.joined.get()).state;
        return Optional.of(run == CallState.SEALED ? CallState.REFUSED : run);
    }

    Optional<ByteString> answer(RequestId id, ByteString answer) {
        return state(id).filter(state -> state == CallState.ANSWERED).map(state -> answer);
    }

    int size() {
        return entries.size();
    }
}
