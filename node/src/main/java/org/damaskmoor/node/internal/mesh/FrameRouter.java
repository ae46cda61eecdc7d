package org.damaskmoor.node.internal.mesh;

import com.google.common.flogger.FluentLogger;
import org.damaskmoor.core.id.NodeId;
import org.damaskmoor.mesh.MeshException;
import org.damaskmoor.mesh.MeshException.Step;
import org.damaskmoor.mesh.MeshLink;
import org.damaskmoor.mesh.MeshListener;
import org.damaskmoor.schema.mesh.MeshFrame;
import org.damaskmoor.schema.mesh.RefusalReason;

/**
 * Hands what happens on the mesh to the duty that it concerns.
 *
 * <p>Runs on the mesh event loop and never blocks.
 */
public final class FrameRouter implements MeshListener {
    private static final FluentLogger logger = FluentLogger.forEnclosingClass();

    private final FrameHandlers receivers;

    public FrameRouter(FrameHandlers receivers) {
        this.receivers = receivers;
    }

    @Override
    public void onFrame(MeshLink link, MeshFrame frame) {
        switch (frame.getBodyCase()) {
            case CALL, SEAL, CANCEL -> receivers.target().accept(link, frame);
            case ACCEPTED, ANSWER, REFUSED, FAILED, SEALED, LOAD_PROBE_ANSWER ->
                    receivers.entry().accept(link, frame);
            case LOAD_PROBE -> receivers.loadProbe().accept(link, frame);
            case CONFIGURATION_REQUEST, CONFIGURATION_ANSWER ->
                    receivers.configuration().accept(link, frame);
            case REFUSAL_BATCH, REFUSAL_BATCH_STORED -> receivers.accounting().accept(link, frame);
            default ->
                    logger.atWarning().log(
                            "event=frame-ignored step=read peer=%s kind=%s",
                            link.peer(), frame.getBodyCase());
        }
    }

    @Override
    public void onUnsent(NodeId peer, MeshFrame frame, MeshException cause) {
        logger.atInfo().log("event=frame-unsent %s", cause.getMessage());
        RefusalReason reason =
                cause.step() == Step.ENQUEUE
                        ? RefusalReason.NODE_BUSY
                        : RefusalReason.TARGET_UNREACHABLE;
        receivers.unsent().accept(peer, frame, reason);
    }

    @Override
    public void onLinkLost(NodeId peer, long lastUsedNanoseconds, MeshException cause) {
        logger.atInfo().log("event=link-lost %s", cause.getMessage());
        receivers.linkLost().accept(peer, lastUsedNanoseconds);
    }
}
