package org.damaskmoor.node.internal.entry;

import org.damaskmoor.core.retry.DeadlineBudget;
import org.damaskmoor.core.retry.RetryBudget;
import org.damaskmoor.core.retry.RetryRules;
import org.damaskmoor.schema.mesh.RefusalReason;

/**
 * Decides whether one request may have a further attempt, given how its last attempt ended.
 *
 * <p>Confined to the caller event loop. Invariant: each further attempt is charged to the service's
 * retry budget once, unless the retry rules make it free.
 */
final class RetryDecision {
    private final RetryBudget budget;
    private final boolean nonIdempotent;
    private RefusalReason reason = RefusalReason.NO_UPSTREAM;
    private boolean refused;
    private boolean refusedBelow;
    private boolean prepaid;

    RetryDecision(RetryBudget budget, boolean nonIdempotent) {
        this.budget = budget;
        this.nonIdempotent = nonIdempotent;
    }

    /** Records that an attempt ended as "not run". */
    void onRefused(RefusalReason refusalReason, boolean refusedByLowerNode) {
        refused = true;
        reason = refusalReason;
        refusedBelow |= refusedByLowerNode;
    }

    /** Records that an attempt ended without an answer. */
    void onFailed() {
        refused = false;
    }

    /** Marks the next attempt as a hedge, which is already charged to the budget. */
    void markNextPrepaid() {
        prepaid = true;
    }

    /**
     * Returns whether the attempt of this number may be sent, and charges it to the budget if so.
     */
    boolean tryAcquireAttempt(int attempt, DeadlineBudget remaining, long nowNanoseconds) {
        if (prepaid) {
            prepaid = false;
            return true;
        }
        int endedAttempts = attempt - 1;
        boolean allowed =
                refused
                        ? RetryRules.canRetryAfterRefusal(
                                reason, refusedBelow, endedAttempts, remaining)
                        : RetryRules.canRetryAfterFailure(nonIdempotent, endedAttempts, remaining);
        if (!allowed) {
            return false;
        }
        boolean charged =
                (refused && RetryRules.isExemptFromBudget(reason))
                        || budget.tryAcquire(nowNanoseconds);
        if (!charged) {
            reason = RefusalReason.RETRY_BUDGET_EMPTY;
        }
        return charged;
    }

    /** The reason to give to the caller if no attempt ran. */
    RefusalReason refusalReason() {
        return reason;
    }
}
