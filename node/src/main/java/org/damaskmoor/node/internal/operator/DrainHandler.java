package org.damaskmoor.node.internal.operator;

import com.google.common.flogger.FluentLogger;
import io.grpc.Status;
import java.util.concurrent.CompletableFuture;
import org.damaskmoor.core.id.NodeId;
import org.damaskmoor.node.internal.members.MemberDirectory;
import org.damaskmoor.schema.gossip.MemberRecord;
import org.damaskmoor.schema.operator.DrainNodeResponse;

/** Handles operators' drain calls: starts to drain the upstream of this node. Thread-safe. */
public final class DrainHandler {
    private static final FluentLogger logger = FluentLogger.forEnclosingClass();

    private final NodeId self;
    private final MemberDirectory members;
    private final Runnable drain;

    /**
     * Creates the handler.
     *
     * @param self this node
     * @param members directory of the other nodes' addresses
     * @param drain starts to drain, from any thread
     */
    public DrainHandler(NodeId self, MemberDirectory members, Runnable drain) {
        this.self = self;
        this.members = members;
        this.drain = drain;
    }

    CompletableFuture<DrainNodeResponse> drain(String node) {
        if (node.equals(self.value())) {
            logger.atInfo().log("event=drain-started node=%s step=operator-call", self);
            drain.run();
            return CompletableFuture.completedFuture(
                    response(true, "It takes no new work and finishes what is in flight."));
        }
        MemberRecord member =
                node.isEmpty()
                        ? MemberRecord.getDefaultInstance()
                        : members.member(new NodeId(node))
                                .orElse(MemberRecord.getDefaultInstance());
        if (member.getNodeId().isEmpty()) {
            return CompletableFuture.failedFuture(
                    Status.NOT_FOUND
                            .withDescription("No node named \"" + node + "\" is known here.")
                            .asRuntimeException());
        }
        return CompletableFuture.completedFuture(
                response(
                        false,
                        "This is the node "
                                + self
                                + "; call the operator port of "
                                + node
                                + " itself, at address "
                                + member.getAddress()
                                + "."));
    }

    private static DrainNodeResponse response(boolean started, String detail) {
        return DrainNodeResponse.newBuilder().setStarted(started).setDetail(detail).build();
    }
}
