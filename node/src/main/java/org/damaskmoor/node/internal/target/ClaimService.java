package org.damaskmoor.node.internal.target;

import java.util.function.Consumer;
import org.damaskmoor.schema.mesh.Call;

/**
 * Claims the idempotency key of a call before the call runs. Confined to the upstream event loop.
 *
 * <p>Invariant: a claim that is answered with {@link ClaimResult#UNAVAILABLE} may still have been
 * written; {@link #release} then removes it.
 */
@FunctionalInterface
public interface ClaimService {
    /** The result of a claim. */
    enum ClaimResult {
        /** The call may run. */
        GRANTED,
        /** An earlier call holds the key. */
        TAKEN,
        /** The platform did not answer; the call must not run. */
        UNAVAILABLE
    }

    /**
     * Claims the key of the call.
     *
     * @param whenDone receives the result once, on the upstream event loop
     */
    void claim(Call call, Consumer<ClaimResult> whenDone);

    /** Releases the claim of a call that did not run, if the call holds one. */
    default void release(Call call) {}
}
