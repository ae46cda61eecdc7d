package org.damaskmoor.node.internal.target;

import java.util.function.Consumer;
import org.damaskmoor.schema.mesh.Call;

/**
 * Claims an idempotency key for a call before it runs. Confined to the upstream event loop.
 *
 * <p>Invariant: an implementation that answers {@link Claim#UNAVAILABLE} may have claimed all the
 * same; {@link #release} then gives the claim back.
 */
@FunctionalInterface
public interface ClaimService {
    /** What came of a claim. */
    enum Claim {
        /** This call may run. */
        GRANTED,
        /** An earlier call has the key. */
        TAKEN,
        /** The platform did not say; the call must not run. */
        UNAVAILABLE
    }

    /**
     * Claims the key of the call.
     *
     * @param whenDone gets the result once, on the upstream event loop
     */
    void claim(Call call, Consumer<Claim> whenDone);

    /** Gives the claim of a call back, if it stands, because the call did not run. */
    default void release(Call call) {}
}
