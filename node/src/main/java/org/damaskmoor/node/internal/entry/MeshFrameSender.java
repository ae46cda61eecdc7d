package org.damaskmoor.node.internal.entry;

import java.util.function.BiConsumer;
import java.util.function.Predicate;
import org.damaskmoor.core.id.NodeId;
import org.damaskmoor.mesh.MeshPeer;
import org.damaskmoor.mesh.MeshTransport;
import org.damaskmoor.node.internal.members.MemberDirectory;
import org.damaskmoor.schema.mesh.MeshFrame;
import org.damaskmoor.schema.mesh.RefusalReason;

/**
 * Sends frames to targets over the mesh, or directly to the target proxy of this node.
 *
 * <p>Thread-safe.
 */
public final class MeshFrameSender implements TargetFrameSender {
    private final NodeId self;
    private final MemberDirectory members;
    private final MeshTransport mesh;
    private final Predicate<MeshFrame> ownTarget;
    private final BiConsumer<MeshFrame, RefusalReason> onUnsent;

    /**
     * Creates a sender.
     *
     * @param self this node's id
     * @param members provides the addresses of other nodes
     * @param mesh transport to other nodes
     * @param ownTarget accepts frames for this node; returns false if its mailbox is full
     * @param onUnsent called with each frame that was certainly not sent
     */
    public MeshFrameSender(
            NodeId self,
            MemberDirectory members,
            MeshTransport mesh,
            Predicate<MeshFrame> ownTarget,
            BiConsumer<MeshFrame, RefusalReason> onUnsent) {
        this.self = self;
        this.members = members;
        this.mesh = mesh;
        this.ownTarget = ownTarget;
        this.onUnsent = onUnsent;
    }

    @Override
    public void send(NodeId target, MeshFrame frame) {
        if (target.equals(self)) {
            sendToSelf(frame);
            return;
        }
        members.peer(target)
                .ifPresentOrElse(peer -> mesh.send(peer, frame), () -> returnUnreachable(frame));
    }

    @Override
    public void sendOverLiveConnection(NodeId target, MeshFrame frame, long aliveAfterNanoseconds) {
        if (target.equals(self)) {
            sendToSelf(frame);
            return;
        }
        members.peer(target)
                .ifPresentOrElse(
                        peer -> sendOverLiveConnection(peer, frame, aliveAfterNanoseconds),
                        () -> returnUnreachable(frame));
    }

    private void sendOverLiveConnection(
            MeshPeer peer, MeshFrame frame, long aliveAfterNanoseconds) {
        mesh.sendOverLiveConnection(peer, frame, aliveAfterNanoseconds);
    }

    private void sendToSelf(MeshFrame frame) {
        if (!ownTarget.test(frame)) {
            onUnsent.accept(frame, RefusalReason.NODE_BUSY);
        }
    }

    private void returnUnreachable(MeshFrame frame) {
        onUnsent.accept(frame, RefusalReason.TARGET_UNREACHABLE);
    }
}
