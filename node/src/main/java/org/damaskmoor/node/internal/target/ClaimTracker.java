package org.damaskmoor.node.internal.target;

import java.util.HashMap;
import java.util.Map;
import java.util.function.Consumer;
import org.damaskmoor.core.id.RequestId;
import org.damaskmoor.schema.mesh.Call;

/**
 * Tracks the claims of calls that have not ended.
 *
 * <p>Confined to the upstream event loop. Invariants: a call that ends without having run releases
 * its claim, even if it ends while the claim is pending; a call that may have run keeps its claim.
 */
final class ClaimTracker {
    private enum State {
        PENDING,
        /** The call ended without running while the claim was pending. */
        ABANDONED,
        HELD
    }

    private final ClaimService service;
    private final Map<RequestId, State> states = new HashMap<>();

    ClaimTracker(ClaimService service) {
        this.service = service;
    }

    static boolean requiresClaim(Call call) {
        return call.getClaim() && !call.getIdempotencyKey().isEmpty();
    }

    /** Claims the key of an open call; there is no callback if the call ends first. */
    void claim(OpenCall call, Consumer<ClaimService.ClaimResult> whenDone) {
        states.put(call.id(), State.PENDING);
        service.claim(call.call(), claim -> onClaim(call, claim, whenDone));
    }

    private void onClaim(
            OpenCall call,
            ClaimService.ClaimResult claim,
            Consumer<ClaimService.ClaimResult> whenDone) {
        State previous = states.remove(call.id());
        boolean mayBeWritten = claim != ClaimService.ClaimResult.TAKEN;
        if (previous == State.ABANDONED) {
            if (mayBeWritten) {
                service.release(call.call());
            }
            return;
        }
        if (mayBeWritten) {
            states.put(call.id(), State.HELD);
        }
        whenDone.accept(claim);
    }

    /** Releases the claim of a call that ended without running. */
    void onNotRun(OpenCall call) {
        State state = states.remove(call.id());
        if (state == State.PENDING) {
            states.put(call.id(), State.ABANDONED);
        } else if (state == State.HELD) {
            service.release(call.call());
        }
    }

    /** Keeps the claim of a call that ended and ran, or may have run. */
    void onMayHaveRun(RequestId id) {
        states.remove(id);
    }
}
