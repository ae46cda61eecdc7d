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
 * The entry nodes that wait for the outcomes of calls; sends them their replies.
 *
 * <p>Confined to the upstream event loop. Invariant: each reply goes over the connection on which
 * the entry node's last message about the call arrived; an entry node asks again for a reply that
 * can't be sent.
 */
final class PendingReplies {
    private final Function<NodeId, LoadReport> loadReport;
    private final Map<RequestId, PendingReply> pendingByRequest = new HashMap<>();

    /**
     * Creates an empty set.
     *
     * @param loadReport returns the load report to send to a node
     */
    PendingReplies(Function<NodeId, LoadReport> loadReport) {
        this.loadReport = loadReport;
    }

    /** Adds a pending reply, in place of an earlier one for the same request. */
    void add(PendingReply pending) {
        pendingByRequest.put(pending.id(), pending);
    }

    void remove(RequestId id) {
        pendingByRequest.remove(id);
    }

    void completeWithAnswer(RequestId id, CallAnswer answer) {
        PendingReply pending = pendingByRequest.remove(id);
        if (pending != null) {
            pending.link()
                    .send(
                            TargetFrames.answer(
                                    pending, answer, loadReport.apply(pending.link().peer())));
        }
    }

    void completeWithRefusal(RequestId id, CallRefusal refusal) {
        PendingReply pending = pendingByRequest.remove(id);
        if (pending != null) {
            sendRefusal(pending, refusal);
        }
    }

    void completeWithFailure(RequestId id, String detail) {
        PendingReply pending = pendingByRequest.remove(id);
        if (pending != null) {
            sendFailure(pending, detail);
        }
    }

    void sendRefusal(PendingReply pending, CallRefusal refusal) {
        pending.link()
                .send(
                        TargetFrames.refused(
                                pending, refusal, loadReport.apply(pending.link().peer())));
    }

    /** Sends the outcome of a call that has already ended. */
    void sendOutcome(PendingReply pending, CallState state, Optional<ByteString> answer) {
        boolean stored = answer.isPresent() && !answer.get().isEmpty();
        if (state.isNotRun()) {
            sendRefusal(pending, CallRefusal.of(RefusalReason.SEALED_AFTER_SILENCE));
        } else if (state == CallState.ANSWERED && stored) {
            CallAnswer parsed = parse(answer.get());
            pending.link()
                    .send(
                            TargetFrames.answer(
                                    pending, parsed, loadReport.apply(pending.link().peer())));
        } else {
            sendFailure(pending, "its answer is no longer kept");
        }
    }

    private void sendFailure(PendingReply pending, String detail) {
        pending.link()
                .send(
                        TargetFrames.failed(
                                pending, detail, loadReport.apply(pending.link().peer())));
    }

    private static CallAnswer parse(ByteString stored) {
        try {
            return CallAnswer.parseFrom(stored);
        } catch (InvalidProtocolBufferException corrupted) {
            throw new IllegalStateException(
                    "the stored answer is not a valid CallAnswer message", corrupted);
        }
    }
}
