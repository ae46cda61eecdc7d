package org.damaskmoor.node.internal.entry;

import java.util.function.Consumer;

/**
 * Accounts for refusals before they are told to callers.
 *
 * <p>Called on the caller event loop, which the callback runs on too.
 */
@FunctionalInterface
public interface RefusalRecorder {
    /**
     * Records a refusal.
     *
     * @param refusal what is refused
     * @param whenRecorded gets the refusal's id when it is safe, or its gap is recorded
     */
    void record(Refusal refusal, Consumer<String> whenRecorded);
}
