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
 * Passes frames and events of the mesh to the component that handles them.
 *
 * <p>Runs on the mesh event loop and never blocks.
 */
public final class FrameRouter implements MeshListener {
    private static final FluentLogger logger = FluentLogger.forEnclosingClass();

    private final FrameHandlers handlers;

    public FrameRouter(FrameHandlers handlers) {
        this.handlers = handlers;
    }

    @Override
    public void onFrame(MeshLink link, MeshFrame frame) {
        switch (frame.getBodyCase()) {
            case CALL, SEAL, CANCEL -> handlers.target().accept(link, frame);
            case ACCEPTED, ANSWER, REFUSED, FAILED, SEALED, LOAD_PROBE_ANSWER ->
                    handlers.entry().accept(link, frame);
            case LOAD_PROBE -> handlers.loadProbe().accept(link, frame);
            case CONFIGURATION_REQUEST, CONFIGURATION_ANSWER ->
                    handlers.configuration().accept(link, frame);
            case REFUSAL_BATCH, REFUSAL_BATCH_STORED -> handlers.accounting().accept(link, frame);
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
        handlers.unsent().accept(peer, frame, reason);
    }

    @Override
    public void onLinkLost(NodeId peer, long lastUsedNanoseconds, MeshException cause) {
        logger.atInfo().log("event=link-lost %s", cause.getMessage());
        handlers.linkLost().accept(peer, lastUsedNanoseconds);
    }
}
