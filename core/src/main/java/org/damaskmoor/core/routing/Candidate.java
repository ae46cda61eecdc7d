package org.damaskmoor.core.routing;

/**
 * A target as presented to a {@link ChoicePolicy}. Valid only during one choice. Not thread-safe.
 */
public interface Candidate {
    /** The target from the latest membership snapshot. */
    Target target();

    /** Distance from the entry node to the target. */
    Distance distance();

    /** Attempts from this entry node that are in flight at the target. */
    int ownInFlight();

    /** Sequence number of the last choice that selected this target, or 0 if none has. */
    long lastChoice();

    /**
     * Expected number of requests at the target: those from this entry node plus those from other
     * entry nodes, as last reported.
     */
    double expectedLoad(long nowNanoseconds);

    /**
     * Expected time until one more request is answered, in nanoseconds. Failures and refusals are
     * converted to a time penalty.
     */
    double expectedNanoseconds(long nowNanoseconds);
}
