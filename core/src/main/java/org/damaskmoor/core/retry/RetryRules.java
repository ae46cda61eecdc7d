package org.damaskmoor.core.retry;

import org.damaskmoor.schema.mesh.RefusalReason;

/**
 * Decides whether an attempt may be retried at a different target, before the retry budget is
 * consulted.
 *
 * <p>A refused request was not run, so even a non-idempotent one may be retried. Only the level of
 * the call chain next to the refusal retries: a refusal marked as coming from a lower level is
 * passed on, because retries at each of seven levels would multiply. Stateless and thread-safe.
 */
public final class RetryRules {
    /** The first attempt and two retries. */
    public static final int MAX_ATTEMPTS = 3;

    private RetryRules() {}

    /** Whether a request that a target refused as "not run" may be retried at another target. */
    public static boolean canRetryAfterRefusal(
            RefusalReason reason, boolean refusedBelow, int attempts, DeadlineBudget deadline) {
        if (refusedBelow || attempts >= MAX_ATTEMPTS || deadline.isExhausted()) {
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

    /** Whether a request that may have run may be retried. */
    public static boolean canRetryAfterFailure(
            boolean nonIdempotent, int attempts, DeadlineBudget deadline) {
        return !nonIdempotent && attempts < MAX_ATTEMPTS && !deadline.isExhausted();
    }

    /**
     * Whether a retry after this refusal does not count against the budget. A planned stop or a
     * replaced node refuses each request at most once, and must not use up the budget that faults
     * need.
     */
    public static boolean isExemptFromBudget(RefusalReason reason) {
        return reason == RefusalReason.DRAINING || reason == RefusalReason.STALE_INCARNATION;
    }
}
