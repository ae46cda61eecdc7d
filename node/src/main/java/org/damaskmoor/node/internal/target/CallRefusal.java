package org.damaskmoor.node.internal.target;

import org.damaskmoor.schema.mesh.RefusalReason;

/**
 * Why a call did not run at this target. Immutable and thread-safe.
 *
 * @param reason the reason
 * @param retryAfterMilliseconds estimated time until a retry can succeed; 0 if unknown
 * @param refusedBelow whether a node further down the call chain refused, so that callers above
 *     don't retry
 */
record CallRefusal(RefusalReason reason, int retryAfterMilliseconds, boolean refusedBelow) {
    static CallRefusal quarantined(int retryAfterMilliseconds) {
        return new CallRefusal(RefusalReason.QUARANTINED, retryAfterMilliseconds, false);
    }

    static CallRefusal of(RefusalReason reason) {
        return new CallRefusal(reason, 0, false);
    }
}
