package org.damaskmoor.core.routing;

import java.util.concurrent.TimeUnit;

/** How far a target is from the entry node, and the time that a request spends on the way. */
public enum Distance {
    /** The same data centre. */
    LOCAL(0),
    /** Another data centre of the same region. */
    REGION(TimeUnit.MILLISECONDS.toNanos(2)),
    /** Another region, over the link that is paid by volume. */
    REMOTE(TimeUnit.MILLISECONDS.toNanos(60));

    private final long roundTripNanoseconds;

    Distance(long roundTripNanoseconds) {
        this.roundTripNanoseconds = roundTripNanoseconds;
    }

    /** Expected time to the target and back. */
    public long roundTripNanoseconds() {
        return roundTripNanoseconds;
    }
}
