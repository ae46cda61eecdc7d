package org.damaskmoor.core.quota;

/**
 * Whether a request is within the quota of its tenant. Immutable and thread-safe.
 *
 * @param admitted whether the request may run
 * @param retryAfterMilliseconds time until there is credit; 0 if the request is admitted
 * @param state by what the decision was taken
 * @param sharePerSecond the share of this entry; 0 if the request was admitted without one
 * @param shareAgeMilliseconds time since the last message of the coordinator about the tenant
 */
public record QuotaDecision(
        boolean admitted,
        long retryAfterMilliseconds,
        State state,
        double sharePerSecond,
        long shareAgeMilliseconds) {
    /** What an entry knows of a tenant's limit. */
    public enum State {
        /** Admitted without a share; the coordinator hears of it afterwards. */
        OPEN,
        /** Admitted from the share that the coordinator granted. */
        LIMITED,
        /** No coordinator acknowledges reports: an equal share of the limit. */
        ISOLATED
    }

    static QuotaDecision admit(State state, double share, long shareAge) {
        return new QuotaDecision(true, 0, state, share, shareAge);
    }

    static QuotaDecision refuse(State state, double share, long shareAge, long retryAfter) {
        return new QuotaDecision(false, retryAfter, state, share, shareAge);
    }
}
