package org.damaskmoor.node.internal.entry;

import org.damaskmoor.core.retry.DeadlineBudget;
import org.damaskmoor.core.retry.RetryBudget;
import org.damaskmoor.core.retry.RetryRules;
import org.damaskmoor.schema.mesh.RefusalReason;

/**
 * Whether one request may have one more attempt, by how the last one ended.
 *
 * <p>Confined to the caller event loop. Invariant: an attempt is paid from the service's retry
 * budget once, unless the rules say that it is free.
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

    /** An attempt ended as "not run". */
    void onRefused(RefusalReason refusalReason, boolean below) {
        refused = true;
        reason = refusalReason;
        refusedBelow |= below;
    }

    /** An attempt ended without an answer. */
    void onFailed() {
        refused = false;
    }

    /** The next attempt is a hedge, which was paid for already. */
    void markNextPrepaid() {
        prepaid = true;
    }

    /** Whether the attempt of this number may be sent; takes it out of the budget. */
    boolean tryAcquireAttempt(int attempt, DeadlineBudget remaining, long nowNanoseconds) {
        if (prepaid) {
            prepaid = false;
            return true;
        }
        int ended = attempt - 1;
        boolean allowed =
                refused
                        ? RetryRules.canRetryAfterRefusal(reason, refusedBelow, ended, remaining)
                        : RetryRules.canRetryAfterFailure(nonIdempotent, ended, remaining);
        if (!allowed) {
            return false;
        }
        boolean paid =
                (refused && RetryRules.isExemptFromBudget(reason))
                        || budget.tryAcquire(nowNanoseconds);
        if (!paid) {
            reason = RefusalReason.RETRY_BUDGET_EMPTY;
        }
        return paid;
    }

    /** The reason to give to the caller when nothing ran. */
    RefusalReason refusalReason() {
        return reason;
    }
}
