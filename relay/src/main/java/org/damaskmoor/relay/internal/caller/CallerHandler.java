package org.damaskmoor.relay.internal.caller;

import java.util.function.Consumer;

/** Leads whole requests to their replies. Confined to the event loop. */
@FunctionalInterface
public interface CallerHandler {
    /**
     * Serves a request.
     *
     * @param reply takes the reply, once
     * @return to be run when the caller leaves before the reply
     */
    Runnable handle(CallerRequest request, Consumer<CallerReply> reply);
}
