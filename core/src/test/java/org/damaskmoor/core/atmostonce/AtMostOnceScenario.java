package org.damaskmoor.core.atmostonce;

import java.util.function.UnaryOperator;

/**
 * Parameters of a simulation. Immutable.
 *
 * @param targets the number of target nodes
 * @param restarts whether targets restart
 * @param sharedKey whether all requests carry one idempotency key
 * @param nonIdempotent whether requests must run at most once
 * @param ledgers wraps each target's ledger, to remove a guard
 * @param calls wraps each entry call, to remove a guard
 */
record AtMostOnceScenario(
        int targets,
        boolean restarts,
        boolean sharedKey,
        boolean nonIdempotent,
        UnaryOperator<TargetLedger> ledgers,
        UnaryOperator<EntryCall> calls) {
    static AtMostOnceScenario nonIdempotentRequests() {
        return new AtMostOnceScenario(
                3, true, false, true, UnaryOperator.identity(), UnaryOperator.identity());
    }

    static AtMostOnceScenario idempotentRequests() {
        return new AtMostOnceScenario(
                3, true, false, false, UnaryOperator.identity(), UnaryOperator.identity());
    }

    /** Uses one target, because without a claim resends are only deduplicated per target. */
    static AtMostOnceScenario resends() {
        return new AtMostOnceScenario(
                1, false, true, true, UnaryOperator.identity(), UnaryOperator.identity());
    }

    AtMostOnceScenario withLedgers(UnaryOperator<TargetLedger> mutation) {
        return new AtMostOnceScenario(targets, restarts, sharedKey, nonIdempotent, mutation, calls);
    }

    AtMostOnceScenario withCalls(UnaryOperator<EntryCall> mutation) {
        return new AtMostOnceScenario(
                targets, restarts, sharedKey, nonIdempotent, ledgers, mutation);
    }
}
