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
 * Carries frames to targets over the mesh, or straight to this node's own target part.
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
     * Creates a carrier.
     *
     * @param self this node
     * @param members where other nodes are
     * @param mesh carries frames to them
     * @param ownTarget takes frames for this node; false when its ring is full
     * @param onUnsent told of a frame that was certainly not sent
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
        members.peer(target).ifPresentOrElse(peer -> mesh.send(peer, frame), () -> gone(frame));
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
                        () -> gone(frame));
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

    private void gone(MeshFrame frame) {
        onUnsent.accept(frame, RefusalReason.TARGET_UNREACHABLE);
    }
}
