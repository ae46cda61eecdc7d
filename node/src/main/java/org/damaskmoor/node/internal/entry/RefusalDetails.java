package org.damaskmoor.node.internal.entry;

import org.damaskmoor.core.id.ServiceName;
import org.damaskmoor.schema.mesh.RefusalReason;

/**
 * Describes each refusal reason to the caller in a sentence or two: what happened and what to do.
 * Stateless.
 */
final class RefusalDetails {
    private RefusalDetails() {}

    static String of(RefusalReason reason, ServiceName service) {
        return "Service " + service + ": " + explanation(reason);
    }

    private static String explanation(RefusalReason reason) {
        return switch (reason) {
            case NOT_ALLOWED ->
                    "this caller may not use this path. Ask the operator to add it to the rule.";
            case NO_UPSTREAM -> "no upstream takes requests now. Try again after the time given.";
            case QUEUE_FULL, OVERLOADED, NODE_BUSY ->
                    "more requests came than can be served. Try again after the time given.";
            case DEADLINE_TOO_SHORT ->
                    "it could not finish before its deadline. Allow more time or try again later.";
            case DEADLINE_PASSED ->
                    "its deadline passed before it could start. Allow more time or try again.";
            case CALLER_OVER_SHARE ->
                    "this caller has used up its share while capacity is short. Slow down.";
            case DRAINING -> "the upstream is leaving. Try again at once.";
            case QUARANTINED ->
                    "requests like it stopped upstreams. Do not send it again unchanged.";
            case CLAIM_UNAVAILABLE ->
                    "its key could not be claimed, because the table service did not answer.";
            case CLAIMED_ELSEWHERE ->
                    "its key was claimed by an earlier request. Ask the service for its outcome.";
            case RETRY_BUDGET_EMPTY ->
                    "it was refused, and the service's retries are used up. Try again later.";
            case UNKNOWN_SERVICE -> "no service has this host or path. Check the address.";
            case MALFORMED -> "the request is not valid HTTP. Correct it.";
            case TOO_LARGE -> "the request is larger than the limit. Send less.";
            default -> "it was stopped before it ran. Try again after the time given.";
        };
    }
}
