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

/** The same decisions in unbounded maps that are searched whole, without queues or fences. */
final class ReferenceLedger {
    private final Map<RequestId, Entry> records = new HashMap<>();

    /** One request; {@code joined} names the run that a resend waits for. */
    private static final class Entry {
        Optional<IdempotencyKey> key = Optional.empty();
        Optional<RequestId> joined = Optional.empty();
        CallState state = CallState.QUEUED;
        long deadline;
        long keepUntil;
    }

    AcceptanceResult accept(CallKey key, long deadline, long keepUntil, long now) {
        Entry known = records.get(key.id());
        if (known != null) {
            keep(key.id(), keepUntil);
            return seen(key.id(), known);
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
        records.put(key.id(), added);
        keep(key.id(), keepUntil);
        run.ifPresent(
                id -> records.get(id).deadline = Math.max(deadline, records.get(id).deadline));
        return run.isPresent() ? AcceptanceResult.JOINED : AcceptanceResult.ACCEPTED;
    }

    private AcceptanceResult seen(RequestId id, Entry known) {
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
        return records.entrySet().stream()
                .filter(entry -> entry.getValue().key.equals(key.idempotencyKey()))
                .filter(entry -> entry.getValue().joined.isEmpty())
                .filter(entry -> !entry.getValue().state.isNotRun())
                .map(Map.Entry::getKey)
                .findFirst();
    }

    private void keep(RequestId id, long keepUntil) {
        Entry record = records.get(id);
        record.keepUntil = Math.max(record.keepUntil, keepUntil);
        record.joined.ifPresent(run -> keep(run, keepUntil));
    }

    HandOverResult handOver(RequestId id, long now) {
        if (!isRun(id, CallState.QUEUED)) {
            return HandOverResult.NOT_QUEUED;
        }
        Entry record = records.get(id);
        boolean late = record.deadline <= now;
        record.state = late ? CallState.REFUSED : CallState.HANDED_OVER;
        return late ? HandOverResult.DEADLINE_PASSED : HandOverResult.RUN;
    }

    boolean move(RequestId id, CallState from, CallState to) {
        boolean moves = isRun(id, from);
        if (moves) {
            records.get(id).state = to;
        }
        return moves;
    }

    private boolean isRun(RequestId id, CallState state) {
        Entry record = records.get(id);
        return record != null && record.joined.isEmpty() && record.state == state;
    }

    SealState seal(RequestId id, long keepUntil, long now) {
        if (!records.containsKey(id)) {
            if (keepUntil <= now) {
                return SealState.OTHER_INCARNATION;
            }
            records.put(id, new Entry());
        }
        keep(id, keepUntil);
        move(id, CallState.QUEUED, CallState.SEALED);
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
        boolean shared = records.values().stream().anyMatch(record -> record.joined.equals(own));
        if (shared || records.get(id).joined.isPresent()) {
            return CancelResult.STILL_WANTED;
        }
        boolean dropped = move(id, CallState.QUEUED, CallState.REFUSED);
        return dropped ? CancelResult.DROPPED : CancelResult.RUNNING;
    }

    void expire(long now) {
        Map<RequestId, Optional<CallState>> states = new HashMap<>();
        records.keySet().forEach(id -> states.put(id, state(id)));
        records.entrySet()
                .removeIf(
                        entry ->
                                entry.getValue().keepUntil <= now
                                        && states.get(entry.getKey()).orElseThrow().isFinal());
    }

    Optional<CallState> state(RequestId id) {
        Entry record = records.get(id);
        if (record == null) {
            return Optional.empty();
        }
        if (record.joined.isEmpty()) {
            return Optional.of(record.state);
        }
        CallState run = records.get(record.joined.get()).state;
        return Optional.of(run == CallState.SEALED ? CallState.REFUSED : run);
    }

    Optional<ByteString> answer(RequestId id, ByteString answer) {
        return state(id).filter(state -> state == CallState.ANSWERED).map(state -> answer);
    }

    int size() {
        return records.size();
    }
}
