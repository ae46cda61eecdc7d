package org.damaskmoor.node.internal.target;

import com.google.protobuf.ByteString;
import com.google.protobuf.InvalidProtocolBufferException;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.function.Function;
import org.damaskmoor.core.atmostonce.CallState;
import org.damaskmoor.core.id.NodeId;
import org.damaskmoor.core.id.RequestId;
import org.damaskmoor.schema.mesh.CallAnswer;
import org.damaskmoor.schema.mesh.LoadReport;
import org.damaskmoor.schema.mesh.RefusalReason;

/**
 * The entry nodes that wait for the outcome of calls, and what they are told.
 *
 * <p>Confined to the upstream event loop. Invariant: each is told over the connection on which it
 * was heard of last; an outcome that can't be sent is asked for again by the entry node.
 */
final class PendingReplies {
    private final Function<NodeId, LoadReport> load;
    private final Map<RequestId, PendingReply> waiting = new HashMap<>();

    /** Tells waiters the outcomes, each with the report that its node gets. */
    PendingReplies(Function<NodeId, LoadReport> load) {
        this.load = load;
    }

    /** Remembers who waits, in place of what was known before. */
    void add(PendingReply waiter) {
        waiting.put(waiter.id(), waiter);
    }

    void remove(RequestId id) {
        waiting.remove(id);
    }

    void completeWithAnswer(RequestId id, CallAnswer answer) {
        PendingReply waiter = waiting.remove(id);
        if (waiter != null) {
            waiter.link()
                    .send(TargetFrames.answer(waiter, answer, load.apply(waiter.link().peer())));
        }
    }

    void completeWithRefusal(RequestId id, CallRefusal refusal) {
        PendingReply waiter = waiting.remove(id);
        if (waiter != null) {
            sendRefusal(waiter, refusal);
        }
    }

    void completeWithFailure(RequestId id, String detail) {
        PendingReply waiter = waiting.remove(id);
        if (waiter != null) {
            sendFailure(waiter, detail);
        }
    }

    void sendRefusal(PendingReply waiter, CallRefusal refusal) {
        waiter.link().send(TargetFrames.refused(waiter, refusal, load.apply(waiter.link().peer())));
    }

    /** Sends an outcome that is known already. */
    void sendOutcome(PendingReply waiter, CallState state, Optional<ByteString> answer) {
        boolean kept = answer.isPresent() && !answer.get().isEmpty();
        if (state.isNotRun()) {
            sendRefusal(waiter, CallRefusal.of(RefusalReason.SEALED_AFTER_SILENCE));
        } else if (state == CallState.ANSWERED && kept) {
            CallAnswer parsed = parse(answer.get());
            waiter.link()
                    .send(TargetFrames.answer(waiter, parsed, load.apply(waiter.link().peer())));
        } else {
            sendFailure(waiter, "its answer is no longer kept");
        }
    }

    private void sendFailure(PendingReply waiter, String detail) {
        waiter.link().send(TargetFrames.failed(waiter, detail, load.apply(waiter.link().peer())));
    }

    private static CallAnswer parse(ByteString kept) {
        try {
            return CallAnswer.parseFrom(kept);
        } catch (InvalidProtocolBufferException corrupted) {
            throw new IllegalStateException("an answer kept in memory can't be read", corrupted);
        }
    }
}
