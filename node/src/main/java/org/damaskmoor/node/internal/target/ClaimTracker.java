package org.damaskmoor.node.internal.target;

import java.util.HashMap;
import java.util.Map;
import java.util.function.Consumer;
import org.damaskmoor.core.id.RequestId;
import org.damaskmoor.schema.mesh.Call;

/**
 * The claims of calls that have not ended.
 *
 * <p>Confined to the upstream event loop. Invariants: a call that ends without having run gives its
 * claim back, also when it ends while the claim is on its way; a call that may have run keeps it.
 */
final class ClaimTracker {
    private enum State {
        ASKED,
        /** The call ended without a run before the claim was answered. */
        UNWANTED,
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

    /** Claims for an open call; nothing is told when the call ended meanwhile. */
    void claim(OpenCall call, Consumer<ClaimService.Claim> whenDone) {
        states.put(call.id(), State.ASKED);
        service.claim(call.call(), claim -> onClaim(call, claim, whenDone));
    }

    private void onClaim(
            OpenCall call, ClaimService.Claim claim, Consumer<ClaimService.Claim> whenDone) {
        State before = states.remove(call.id());
        boolean mayStand = claim != ClaimService.Claim.TAKEN;
        if (before == State.UNWANTED) {
            if (mayStand) {
                service.release(call.call());
            }
            return;
        }
        if (mayStand) {
            states.put(call.id(), State.HELD);
        }
        whenDone.accept(claim);
    }

    /** The call ended and did not run. */
    void onNotRun(OpenCall call) {
        State state = states.remove(call.id());
        if (state == State.ASKED) {
            states.put(call.id(), State.UNWANTED);
        } else if (state == State.HELD) {
            service.release(call.call());
        }
    }

    /** The call ended and ran, or may have run. */
    void onMayHaveRun(RequestId id) {
        states.remove(id);
    }
}
