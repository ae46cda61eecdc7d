package org.damaskmoor.node.internal.http;

import java.util.function.Consumer;
import org.damaskmoor.schema.mesh.RefusalReason;

/** Handles callers' requests. Called on the caller event loop. */
public interface CallerRequestHandler {
    /**
     * Handles a request.
     *
     * @param request the complete request
     * @param reply receives the reply, on the caller event loop
     * @return cancels the request if its caller disconnects
     */
    Runnable handle(CallerRequest request, Consumer<CallerReply> reply);

    /** Records the refusal of a request that could not be read, and replies to it. */
    void refuseUnparsed(String caller, RefusalReason reason, Consumer<CallerReply> reply);
}
