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

/** A simulated target node with its upstream. Not thread-safe. */
final class FakeTarget {
    private static final LedgerLimits LIMITS = new LedgerLimits(2, 64, 1);

    final NodeId node;
    private final AtMostOnceSimulation simulation;
    private final List<RequestId> queue = new ArrayList<>();
    private final List<RequestId> upstream = new ArrayList<>();
    private final Map<RequestId, AttemptId> lastAttempts = new HashMap<>();
    private final long clockLagNanoseconds;
    private Incarnation incarnation = new Incarnation(1);
    private TargetLedger ledger;

    FakeTarget(AtMostOnceSimulation simulation, NodeId node) {
        this.simulation = simulation;
        this.node = node;
        this.clockLagNanoseconds =
                simulation.random.nextInt((int) AtMostOnceSimulation.SKEW_NANOSECONDS);
        this.ledger = freshLedger();
    }

    private TargetLedger freshLedger() {
        return simulation.scenario.ledgers().apply(TargetLedger.bounded(incarnation, LIMITS));
    }

    /** Returns the incarnation that an entry node assumes: the current or the previous one. */
    Incarnation knownIncarnation() {
        boolean stale = incarnation.value() > 1 && simulation.random.nextInt(4) == 0;
        return stale ? new Incarnation(incarnation.value() - 1) : incarnation;
    }

    /** Returns the time of this node's clock, which lags by less than the skew. */
    private long now() {
        return simulation.nowNanoseconds - clockLagNanoseconds;
    }

    void step() {
        switch (simulation.random.nextInt(8)) {
            case 0, 1, 2 -> handOver();
            case 3 -> refuse();
            case 4, 5 -> endUpstreamCall();
            case 6 -> ledger.expire(now());
            default -> restart();
        }
    }

    private void restart() {
        if (simulation.scenario.restarts() && simulation.random.nextInt(3) == 0) {
            incarnation = new Incarnation(incarnation.value() + 1);
            ledger = freshLedger();
            queue.clear();
            upstream.clear();
            lastAttempts.clear();
        }
    }

    void onCall(AttemptId attempt, Incarnation targetIncarnation) {
        Acceptance acceptance =
                ledger.accept(
                        simulation.callKey(attempt.request()),
                        targetIncarnation,
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
                reply(attempt, acceptance.state(), acceptance.answer());
            }
            case WRONG_INCARNATION -> replyRefusal(attempt, RefusalReason.STALE_INCARNATION);
            case SEALED_ALREADY -> replyRefusal(attempt, RefusalReason.SEALED_AFTER_SILENCE);
            case FULL -> replyRefusal(attempt, RefusalReason.NODE_BUSY);
            case DEADLINE_PASSED -> replyRefusal(attempt, RefusalReason.DEADLINE_PASSED);
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
            replyOutcome(attempt.request());
        } else if (state != SealState.OTHER_INCARNATION) {
            lastAttempts.put(attempt.request(), attempt);
            replyOutcome(attempt.request());
        }
    }

    void onCancel(AttemptId attempt) {
        ledger.cancel(attempt.request());
    }

    private void handOver() {
        if (queue.isEmpty()) {
            return;
        }
        RequestId id = queue.remove(simulation.random.nextInt(queue.size()));
        switch (ledger.handOver(id, now())) {
            case RUN -> runUpstream(id);
            default -> replyOutcome(id);
        }
    }

    private void runUpstream(RequestId id) {
        if (simulation.random.nextInt(4) == 0) {
            ledger.returned(id);
            queue.add(id);
            return;
        }
        simulation.recordRun(id);
        upstream.add(id);
    }

    private void refuse() {
        if (!queue.isEmpty()) {
            RequestId id = queue.remove(simulation.random.nextInt(queue.size()));
            ledger.refuse(id);
            replyOutcome(id);
        }
    }

    private void endUpstreamCall() {
        if (upstream.isEmpty()) {
            return;
        }
        RequestId id = upstream.remove(simulation.random.nextInt(upstream.size()));
        if (simulation.random.nextInt(3) == 0) {
            ledger.failed(id);
        } else {
            ledger.answered(id, ByteString.copyFromUtf8(simulation.answerOf(id)));
        }
        replyOutcome(id);
    }

    private void replyOutcome(RequestId run) {
        for (RequestId id : ledger.requestsSharingRun(run)) {
            AttemptId attempt = lastAttempts.get(id);
            if (attempt != null) {
                reply(attempt, ledger.state(id).orElseThrow(), ledger.answer(id));
            }
        }
    }

    private void reply(AttemptId attempt, CallState state, Optional<ByteString> answer) {
        switch (state) {
            case QUEUED, HANDED_OVER -> {}
            case SEALED, REFUSED -> replyRefusal(attempt, RefusalReason.OVERLOADED);
            case FAILED -> toEntry(attempt, entry -> entry.call.failed(attempt));
            case ANSWERED -> replyAnswer(attempt, answer);
            default -> throw new AssertionError(state);
        }
    }

    private void replyAnswer(AttemptId attempt, Optional<ByteString> answer) {
        if (answer.isEmpty()) {
            toEntry(attempt, entry -> entry.call.failed(attempt));
            return;
        }
        String text = answer.get().toStringUtf8();
        simulation.send(() -> simulation.entry(attempt.request()).onAnswer(attempt, text));
    }

    private void replyRefusal(AttemptId attempt, RefusalReason reason) {
        toEntry(attempt, entry -> entry.call.refused(attempt, reason));
    }

    private void toEntry(AttemptId attempt, EntryMessage message) {
        FakeEntry entry = simulation.entry(attempt.request());
        simulation.send(() -> entry.perform(message.deliver(entry)));
    }

    /** A message to an entry node. */
    private interface EntryMessage {
        List<EntryAction> deliver(FakeEntry entry);
    }
}
