package org.damaskmoor.node.internal.entry;

import java.util.function.Consumer;

/**
 * Records refusals before callers get their responses.
 *
 * <p>Called on the caller event loop, which also runs the callback.
 */
@FunctionalInterface
public interface RefusalRecorder {
    /**
     * Records a refusal.
     *
     * @param refusal the refusal
     * @param whenRecorded receives the refusal's id once a peer has stored the refusal or it is
     *     counted as a gap
     */
    void record(Refusal refusal, Consumer<String> whenRecorded);
}
