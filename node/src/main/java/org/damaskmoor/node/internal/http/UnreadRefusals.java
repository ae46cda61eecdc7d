package org.damaskmoor.node.internal.http;

import org.damaskmoor.schema.mesh.RefusalReason;

/**
 * Refuses requests that could not be read, or connections that are too many, and closes their
 * connections.
 *
 * <p>Confined to the caller event loop. Invariant: a connection is refused, and accounted for,
 * once.
 */
final class UnreadRefusals {
    private static final int FIELDS_TOO_LARGE = 431;

    private final CallerHandler handler;

    UnreadRefusals(CallerHandler handler) {
        this.handler = handler;
    }

    /** Refuses what stands in the head of a request. */
    void refuseHead(CallerSocket socket, byte[] head) {
        RefusalReason reason = RequestChecks.unreadable(head);
        boolean large = reason == RefusalReason.TOO_LARGE;
        refuse(socket, RequestChecks.UNKNOWN_CALLER, reason, large ? FIELDS_TOO_LARGE : 0);
    }

    /** Refuses a request, and what may follow on its connection. */
    void refuse(CallerSocket socket, String caller, RefusalReason reason) {
        refuse(socket, caller, reason, 0);
    }

    private void refuse(CallerSocket socket, String caller, RefusalReason reason, int status) {
        if (socket.beginRefusal()) {
            handler.refuseUnread(
                    caller,
                    reason,
                    reply -> {
                        CallerReply sent =
                                status == 0 ? reply : OutcomeReplies.withStatus(reply, status);
                        socket.finishRefusal(WireReply.lastBytes(sent));
                    });
        }
    }
}
