package org.damaskmoor.core.routing;

import java.util.concurrent.TimeUnit;

/** Network distance between the entry node and a target. */
public enum Distance {
    /** Same data centre. */
    LOCAL(0),
    /** Another data centre of the same region. */
    REGION(TimeUnit.MILLISECONDS.toNanos(2)),
    /** Another region, over the link that is billed by volume. */
    REMOTE(TimeUnit.MILLISECONDS.toNanos(60));

    private final long roundTripNanoseconds;

    Distance(long roundTripNanoseconds) {
        this.roundTripNanoseconds = roundTripNanoseconds;
    }

    /** Expected network round-trip time to the target. */
    public long roundTripNanoseconds() {
        return roundTripNanoseconds;
    }
}
