package org.damaskmoor.node.internal.entry;

import org.damaskmoor.core.atmostonce.AttemptId;
import org.damaskmoor.core.id.RequestId;
import org.damaskmoor.core.id.TargetId;
import org.damaskmoor.schema.mesh.CancelCall;
import org.damaskmoor.schema.mesh.MeshFrame;
import org.damaskmoor.schema.mesh.SealRequest;

/** Builds the frames that an entry node sends about a call. Stateless and thread-safe. */
final class EntryFrames {
    private EntryFrames() {}

    static MeshFrame seal(AttemptId attempt, TargetId target, long deadlineEpochMilliseconds) {
        return MeshFrame.newBuilder()
                .setSeal(
                        SealRequest.newBuilder()
                                .setRequestId(toMessage(attempt.request()))
                                .setAttempt(attempt.attempt())
                                .setTargetIncarnation(target.incarnation().value())
                                .setDeadlineEpochMilliseconds(deadlineEpochMilliseconds))
                .build();
    }

    static MeshFrame cancel(AttemptId attempt) {
        return MeshFrame.newBuilder()
                .setCancel(
                        CancelCall.newBuilder()
                                .setRequestId(toMessage(attempt.request()))
                                .setAttempt(attempt.attempt()))
                .build();
    }

    static org.damaskmoor.schema.mesh.RequestId toMessage(RequestId id) {
        return org.damaskmoor.schema.mesh.RequestId.newBuilder()
                .setEntryNode(id.entryNode().value())
                .setEntryIncarnation(id.entryIncarnation().value())
                .setSequence(id.sequence())
                .build();
    }
}
