package org.damaskmoor.relay.internal;

import org.damaskmoor.core.routetable.RouteTable;

/**
 * How long a node of a new fleet waits until it reads which others have joined. Thread-safe: pure
 * functions.
 */
final class JoinDelay {
    /**
     * Time in which a node that knows no others uses little of a quota: several nodes that each
     * take the whole limit for 3 s exceed the bound of 5 s.
     */
    private static final long MIN_MILLISECONDS = 300;

    /** A fleet that joins together makes at most 1,000 of these calls a second. */
    private static final long MILLISECONDS_PER_MEMBER = 1;

    private JoinDelay() {}

    /**
     * Returns the time until members are read again.
     *
     * @param routes the configuration in force; null if it is not known yet
     * @param members number of known members
     * @param usualMilliseconds the delay without quotas, which is never exceeded
     */
    static long milliseconds(RouteTable routes, int members, long usualMilliseconds) {
        if (routes != null && !routes.tenants().hasQuotas()) {
            return usualMilliseconds;
        }
        long delay = Math.max(MIN_MILLISECONDS, MILLISECONDS_PER_MEMBER * members);
        return Math.min(usualMilliseconds, delay);
    }
}
