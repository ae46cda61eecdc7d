package org.damaskmoor.core.retry;

import org.damaskmoor.schema.mesh.RefusalReason;

/**
 * Which ended attempts may be followed by another at a different target. The budget is asked after
 * these rules.
 *
 * <p>A refusal says that the request did not run, so that even a non-idempotent one may be tried
 * again. Only the level next to the refusal does so: a refusal marked as from below is passed on,
 * else calls of seven levels would multiply. Stateless and thread-safe.
 */
public final class RetryRules {
    /** The first attempt and two further ones. */
    public static final int MOST_ATTEMPTS = 3;

    private RetryRules() {}

    /** Whether a request that a target refused as "not run" may be tried elsewhere. */
    public static boolean canRetryAfterRefusal(
            RefusalReason reason, boolean refusedBelow, int attempts, DeadlineBudget deadline) {
        if (refusedBelow || attempts >= MOST_ATTEMPTS || deadline.isExhausted()) {
            return false;
        }
        return switch (reason) {
            case QUEUE_FULL,
                    DEADLINE_TOO_SHORT,
                    OVERLOADED,
                    DRAINING,
                    STALE_INCARNATION,
                    NODE_BUSY,
                    TARGET_UNREACHABLE,
                    UPSTREAM_UNREACHABLE,
                    SEALED_AFTER_SILENCE ->
                    true;
            default -> false;
        };
    }

    /** Whether a request that may have run may be sent again. */
    public static boolean canRetryAfterFailure(
            boolean nonIdempotent, int attempts, DeadlineBudget deadline) {
        return !nonIdempotent && attempts < MOST_ATTEMPTS && !deadline.isExhausted();
    }

    /**
     * Whether the attempt after this refusal is free of the budget: a planned stop or a replaced
     * node bounces each request at most once, and must not use up what faults need.
     */
    public static boolean isExemptFromBudget(RefusalReason reason) {
        return reason == RefusalReason.DRAINING || reason == RefusalReason.STALE_INCARNATION;
    }
}
