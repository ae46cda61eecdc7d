package org.damaskmoor.core.atmostonce;

import java.util.function.UnaryOperator;

/**
 * What a simulated world consists of. Immutable.
 *
 * @param targets the number of target nodes
 * @param restarts whether targets restart
 * @param sharedKey whether all requests carry one idempotency key
 * @param nonIdempotent whether requests must run at most once
 * @param ledgers wraps each target's ledger, to break a guard
 * @param calls wraps each entry call, to break a guard
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

    /** Resends meet at one target; without a claim no more is promised. */
    static AtMostOnceScenario resends() {
        return new AtMostOnceScenario(
                1, false, true, true, UnaryOperator.identity(), UnaryOperator.identity());
    }

    AtMostOnceScenario withLedgers(UnaryOperator<TargetLedger> broken) {
        return new AtMostOnceScenario(targets, restarts, sharedKey, nonIdempotent, broken, calls);
    }

    AtMostOnceScenario withCalls(UnaryOperator<EntryCall> broken) {
        return new AtMostOnceScenario(targets, restarts, sharedKey, nonIdempotent, ledgers, broken);
    }
}
