package org.damaskmoor.relay.internal.caller;

import java.util.function.Consumer;

/** Handles complete requests of callers. Confined to the event loop. */
@FunctionalInterface
public interface CallerHandler {
    /**
     * Handles a request.
     *
     * @param reply takes the reply, once
     * @return to be run if the caller disconnects before the reply
     */
    Runnable handle(CallerRequest request, Consumer<CallerReply> reply);

    /**
     * Whether a request to this host and path may run more than once, or is answered without being
     * run. Such requests of one connection are handled concurrently.
     */
    default boolean isIdempotent(String host, String path) {
        return false;
    }
}
