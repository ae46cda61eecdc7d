package org.damaskmoor.node.internal.http;

import org.damaskmoor.schema.mesh.RefusalReason;

/**
 * Refuses requests that can't be read and connections that exceed a limit, and closes their
 * connections.
 *
 * <p>Confined to the caller event loop. Invariant: a connection is refused, and its refusal
 * recorded, once.
 */
final class ConnectionRefuser {
    private static final int FIELDS_TOO_LARGE = 431;

    private final CallerRequestHandler handler;

    ConnectionRefuser(CallerRequestHandler handler) {
        this.handler = handler;
    }

    /** Refuses a request whose head the library could not parse. */
    void refuseUnparsableHead(CallerSocket socket, byte[] head) {
        RefusalReason reason = RequestValidator.classifyUnparsableHead(head);
        boolean tooLarge = reason == RefusalReason.TOO_LARGE;
        refuse(socket, RequestValidator.UNKNOWN_CALLER, reason, tooLarge ? FIELDS_TOO_LARGE : 0);
    }

    /** Refuses a request and closes its connection, including any requests that follow on it. */
    void refuse(CallerSocket socket, String caller, RefusalReason reason) {
        refuse(socket, caller, reason, 0);
    }

    private void refuse(CallerSocket socket, String caller, RefusalReason reason, int status) {
        if (socket.beginRefusal()) {
            handler.refuseUnparsed(
                    caller,
                    reason,
                    reply -> {
                        CallerReply response =
                                status == 0 ? reply : OutcomeReplies.withStatus(reply, status);
                        socket.finishRefusal(ResponseBytes.closingResponse(response));
                    });
        }
    }
}
