package org.damaskmoor.node.internal.target;

import org.damaskmoor.core.id.Incarnation;
import org.damaskmoor.core.id.NodeId;
import org.damaskmoor.core.id.RequestId;
import org.damaskmoor.schema.mesh.CallAccepted;
import org.damaskmoor.schema.mesh.CallAnswer;
import org.damaskmoor.schema.mesh.CallFailed;
import org.damaskmoor.schema.mesh.CallRefused;
import org.damaskmoor.schema.mesh.LoadReport;
import org.damaskmoor.schema.mesh.MeshFrame;
import org.damaskmoor.schema.mesh.SealResult;
import org.damaskmoor.schema.mesh.SealState;

/** Builds the frames that a target sends about a call. Stateless and thread-safe. */
final class TargetFrames {
    private TargetFrames() {}

    static MeshFrame accepted(PendingReply pending) {
        return MeshFrame.newBuilder()
                .setAccepted(
                        CallAccepted.newBuilder()
                                .setRequestId(toMessage(pending.id()))
                                .setAttempt(pending.attempt()))
                .build();
    }

    static MeshFrame answer(PendingReply pending, CallAnswer answer, LoadReport load) {
        return MeshFrame.newBuilder()
                .setAnswer(
                        answer.toBuilder()
                                .setRequestId(toMessage(pending.id()))
                                .setAttempt(pending.attempt())
                                .setLoad(load))
                .build();
    }

    static MeshFrame refused(PendingReply pending, CallRefusal refusal, LoadReport load) {
        return MeshFrame.newBuilder()
                .setRefused(
                        CallRefused.newBuilder()
                                .setRequestId(toMessage(pending.id()))
                                .setAttempt(pending.attempt())
                                .setReason(refusal.reason())
                                .setRetryAfterMilliseconds(refusal.retryAfterMilliseconds())
                                .setRefusedBelow(refusal.refusedBelow())
                                .setLoad(load))
                .build();
    }

    static MeshFrame failed(PendingReply pending, String detail, LoadReport load) {
        return MeshFrame.newBuilder()
                .setFailed(
                        CallFailed.newBuilder()
                                .setRequestId(toMessage(pending.id()))
                                .setAttempt(pending.attempt())
                                .setStep("upstream")
                                .setDetail(detail)
                                .setLoad(load))
                .build();
    }

    static MeshFrame sealed(PendingReply pending, SealState state) {
        return MeshFrame.newBuilder()
                .setSealed(
                        SealResult.newBuilder()
                                .setRequestId(toMessage(pending.id()))
                                .setAttempt(pending.attempt())
                                .setState(state))
                .build();
    }

    static RequestId requestId(org.damaskmoor.schema.mesh.RequestId message) {
        return new RequestId(
                new NodeId(message.getEntryNode()),
                new Incarnation(message.getEntryIncarnation()),
                message.getSequence());
    }

    private static org.damaskmoor.schema.mesh.RequestId toMessage(RequestId id) {
        return org.damaskmoor.schema.mesh.RequestId.newBuilder()
                .setEntryNode(id.entryNode().value())
                .setEntryIncarnation(id.entryIncarnation().value())
                .setSequence(id.sequence())
                .build();
    }
}
