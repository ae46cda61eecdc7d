package org.damaskmoor.core.tenancy;

/**
 * The rate of requests that a tenant may send through all nodes together. Immutable and
 * thread-safe.
 *
 * @param requestsPerSecond sustained rate; 0 for no limit
 * @param burst requests beyond the rate that may come at once
 */
public record RequestQuota(double requestsPerSecond, double burst) {
    /** No limit. */
    public static final RequestQuota UNLIMITED = new RequestQuota(0, 0);

    public RequestQuota {
        if (!isValid(requestsPerSecond) || !isValid(burst)) {
            throw new IllegalArgumentException("A quota must be finite and not negative.");
        }
    }

    private static boolean isValid(double number) {
        return number >= 0 && Double.isFinite(number);
    }

    /** Whether requests are limited at all. */
    public boolean isLimited() {
        return requestsPerSecond > 0;
    }
}
