package org.damaskmoor.core.routing;

/** A target as a {@link ChoicePolicy} sees it. Not thread-safe; valid during the choice only. */
public interface Candidate {
    /** The target as membership knows it. */
    Target target();

    /** How far it is from here. */
    Distance distance();

    /** Attempts that this node sent to it and that have not ended. */
    int ownInFlight();

    /** The number of the choice that took it last; 0 when none did. */
    long lastChoice();

    /** Expected requests at the target: the own ones, and those of others last heard of. */
    double expectedLoad(long nowNanoseconds);

    /**
     * Expected time until an answer to one more request, in nanoseconds; failures count as time.
     */
    double expectedNanoseconds(long nowNanoseconds);
}
