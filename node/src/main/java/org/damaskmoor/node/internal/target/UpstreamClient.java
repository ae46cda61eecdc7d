package org.damaskmoor.node.internal.target;

import java.util.function.Consumer;
import org.damaskmoor.schema.mesh.Call;

/** Sends calls to the upstream beside this node. Confined to the upstream event loop. */
@FunctionalInterface
interface UpstreamClient {
    /**
     * Sends a call.
     *
     * @param upstream the upstream's address
     * @param call the call
     * @param remainingMilliseconds longest time to wait for the complete answer
     * @param whenDone receives the outcome once, on the upstream event loop
     */
    void send(
            UpstreamAddress upstream,
            Call call,
            long remainingMilliseconds,
            Consumer<UpstreamOutcome> whenDone);
}
