package org.damaskmoor.core.atmostonce;

import com.google.protobuf.ByteString;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.damaskmoor.core.id.Incarnation;
import org.damaskmoor.core.id.NodeId;
import org.damaskmoor.core.id.RequestId;
import org.damaskmoor.core.id.TargetId;
import org.damaskmoor.schema.mesh.RefusalReason;
import org.damaskmoor.schema.mesh.SealState;

/** A target node with its upstream, as a real node would drive them. Not thread-safe. */
final class FakeTarget {
    private static final LedgerLimits LIMITS = new LedgerLimits(2, 64, 1);

    final NodeId node;
    private final AtMostOnceSimulation world;
    private final List<RequestId> queue = new ArrayList<>();
    private final List<RequestId> upstream = new ArrayList<>();
    private final Map<RequestId, AttemptId> lastAttempts = new HashMap<>();
    private final long clockLagNanoseconds;
    private Incarnation incarnation = new Incarnation(1);
    private TargetLedger ledger;

    FakeTarget(AtMostOnceSimulation world, NodeId node) {
        this.world = world;
        this.node = node;
        this.clockLagNanoseconds =
                world.random.nextInt((int) AtMostOnceSimulation.SKEW_NANOSECONDS);
        this.ledger = freshLedger();
    }

    private TargetLedger freshLedger() {
        return world.setup.ledgers().apply(TargetLedger.bounded(incarnation, LIMITS));
    }

    /** The incarnation that an entry has heard of: the present one or a former one. */
    Incarnation knownIncarnation() {
        boolean stale = incarnation.value() > 1 && world.random.nextInt(4) == 0;
        return stale ? new Incarnation(incarnation.value() - 1) : incarnation;
    }

    /** The time by this node's clock, which lags by less than the skew. */
    private long now() {
        return world.nowNanoseconds - clockLagNanoseconds;
    }

    void step() {
        switch (world.random.nextInt(8)) {
            case 0, 1, 2 -> handOver();
            case 3 -> refuse();
            case 4, 5 -> endUpstreamCall();
            case 6 -> ledger.expire(now());
            default -> restart();
        }
    }

    private void restart() {
        if (world.setup.restarts() && world.random.nextInt(3) == 0) {
            incarnation = new Incarnation(incarnation.value() + 1);
            ledger = freshLedger();
            queue.clear();
            upstream.clear();
            lastAttempts.clear();
        }
    }

    void onCall(AttemptId attempt, Incarnation meant) {
        Acceptance acceptance =
                ledger.accept(
                        world.callKey(attempt.request()),
                        meant,
                        AtMostOnceSimulation.DEADLINE_NANOSECONDS,
                        AtMostOnceSimulation.DEADLINE_NANOSECONDS
                                + AtMostOnceSimulation.SKEW_NANOSECONDS,
                        now());
        switch (acceptance.result()) {
            case ACCEPTED -> {
                lastAttempts.put(attempt.request(), attempt);
                queue.add(attempt.request());
                toEntry(attempt, entry -> entry.call.accepted(attempt));
            }
            case DUPLICATE, JOINED -> {
                lastAttempts.put(attempt.request(), attempt);
                toEntry(attempt, entry -> entry.call.accepted(attempt));
                tell(attempt, acceptance.state(), acceptance.answer());
            }
            case WRONG_INCARNATION -> refusal(attempt, RefusalReason.STALE_INCARNATION);
            case SEALED_ALREADY -> refusal(attempt, RefusalReason.SEALED_AFTER_SILENCE);
            case FULL -> refusal(attempt, RefusalReason.NODE_BUSY);
            case DEADLINE_PASSED -> refusal(attempt, RefusalReason.DEADLINE_PASSED);
            case TOO_LATE -> {}
            default -> throw new AssertionError(acceptance);
        }
    }

    void onSeal(AttemptId attempt, TargetId target) {
        SealState state =
                ledger.seal(
                        attempt.request(),
                        target.incarnation(),
                        AtMostOnceSimulation.DEADLINE_NANOSECONDS
                                + AtMostOnceSimulation.SKEW_NANOSECONDS,
                        now());
        toEntry(attempt, entry -> entry.call.sealResult(attempt, state));
        if (state == SealState.SEALED) {
            tellOutcome(attempt.request());
        } else if (state != SealState.OTHER_INCARNATION) {
            lastAttempts.put(attempt.request(), attempt);
            tellOutcome(attempt.request());
        }
    }

    void onCancel(AttemptId attempt) {
        ledger.cancel(attempt.request());
    }

    private void handOver() {
        if (queue.isEmpty()) {
            return;
        }
        RequestId id = queue.remove(world.random.nextInt(queue.size()));
        switch (ledger.handOver(id, now())) {
            case RUN -> giveToUpstream(id);
            default -> tellOutcome(id);
        }
    }

    private void giveToUpstream(RequestId id) {
        if (world.random.nextInt(4) == 0) {
            ledger.returned(id);
            queue.add(id);
            return;
        }
        world.recordRun(id);
        upstream.add(id);
    }

    private void refuse() {
        if (!queue.isEmpty()) {
            RequestId id = queue.remove(world.random.nextInt(queue.size()));
            ledger.refuse(id);
            tellOutcome(id);
        }
    }

    private void endUpstreamCall() {
        if (upstream.isEmpty()) {
            return;
        }
        RequestId id = upstream.remove(world.random.nextInt(upstream.size()));
        if (world.random.nextInt(3) == 0) {
            ledger.failed(id);
        } else {
            ledger.answered(id, ByteString.copyFromUtf8(world.answerOf(id)));
        }
        tellOutcome(id);
    }

    private void tellOutcome(RequestId run) {
        for (RequestId id : ledger.requestsSharingRun(run)) {
            AttemptId attempt = lastAttempts.get(id);
            if (attempt != null) {
                tell(attempt, ledger.state(id).orElseThrow(), ledger.answer(id));
            }
        }
    }

    private void tell(AttemptId attempt, CallState state, Optional<ByteString> answer) {
        switch (state) {
            case QUEUED, HANDED_OVER -> {}
            case SEALED, REFUSED -> refusal(attempt, RefusalReason.OVERLOADED);
            case FAILED -> toEntry(attempt, entry -> entry.call.failed(attempt));
            case ANSWERED -> tellAnswer(attempt, answer);
            default -> throw new AssertionError(state);
        }
    }

    private void tellAnswer(AttemptId attempt, Optional<ByteString> answer) {
        if (answer.isEmpty()) {
            toEntry(attempt, entry -> entry.call.failed(attempt));
            return;
        }
        String text = answer.get().toStringUtf8();
        world.send(() -> world.entry(attempt.request()).onAnswer(attempt, text));
    }

    private void refusal(AttemptId attempt, RefusalReason reason) {
        toEntry(attempt, entry -> entry.call.refused(attempt, reason));
    }

    private void toEntry(AttemptId attempt, EntryMessage message) {
        FakeEntry entry = world.entry(attempt.request());
        world.send(() -> entry.perform(message.deliver(entry)));
    }

    /** A message that drives an entry. */
    private interface EntryMessage {
        List<EntryAction> deliver(FakeEntry entry);
    }
}
