package org.damaskmoor.node.internal.target;

import org.damaskmoor.schema.mesh.RefusalReason;

/**
 * Why a call did not run here. Immutable and thread-safe.
 *
 * @param reason the reason
 * @param retryAfterMilliseconds when to try again, as an estimate
 * @param refusedBelow whether a node further down refused, so that levels above don't retry
 */
record CallRefusal(RefusalReason reason, int retryAfterMilliseconds, boolean refusedBelow) {
    static CallRefusal quarantined(int retryAfterMilliseconds) {
        return new CallRefusal(RefusalReason.QUARANTINED, retryAfterMilliseconds, false);
    }

    static CallRefusal of(RefusalReason reason) {
        return new CallRefusal(reason, 0, false);
    }
}
