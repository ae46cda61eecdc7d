package org.damaskmoor.node.internal.http;

import org.damaskmoor.schema.mesh.RefusalReason;

/**
 * Refuses requests that could not be read, or connections that are too many, and closes their
 * connections.
 *
 * <p>Confined to the caller event loop. Invariant: a connection is refused, and accounted for,
 * once.
 */
final class ConnectionRefuser {
    private static final int FIELDS_TOO_LARGE = 431;

    private final CallerRequestHandler handler;

    ConnectionRefuser(CallerRequestHandler handler) {
        this.handler = handler;
    }

    /** Refuses what stands in the head of a request. */
    void refuseUnparsableHead(CallerSocket socket, byte[] head) {
        RefusalReason reason = RequestValidator.classifyUnparsableHead(head);
        boolean large = reason == RefusalReason.TOO_LARGE;
        refuse(socket, RequestValidator.UNKNOWN_CALLER, reason, large ? FIELDS_TOO_LARGE : 0);
    }

    /** Refuses a request, and what may follow on its connection. */
    void refuse(CallerSocket socket, String caller, RefusalReason reason) {
        refuse(socket, caller, reason, 0);
    }

    private void refuse(CallerSocket socket, String caller, RefusalReason reason, int status) {
        if (socket.beginRefusal()) {
            handler.refuseUnparsed(
                    caller,
                    reason,
                    reply -> {
                        CallerReply sent =
                                status == 0 ? reply : OutcomeReplies.withStatus(reply, status);
                        socket.finishRefusal(ResponseBytes.closingResponse(sent));
                    });
        }
    }
}
