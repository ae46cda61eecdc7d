package org.damaskmoor.node.internal.http;

import java.util.function.Consumer;
import org.damaskmoor.schema.mesh.RefusalReason;

/** Leads callers' requests to their replies. Called on the caller event loop. */
public interface CallerRequestHandler {
    /**
     * Leads a request to its reply.
     *
     * @param request the whole request
     * @param reply gets the reply, on the caller event loop
     * @return ends the request when its caller is gone
     */
    Runnable handle(CallerRequest request, Consumer<CallerReply> reply);

    /** Accounts for and answers a request that could not even be read. */
    void refuseUnparsed(String caller, RefusalReason reason, Consumer<CallerReply> reply);
}
