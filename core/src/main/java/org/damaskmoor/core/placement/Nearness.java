package org.damaskmoor.core.placement;

/**
 * How far a target stands from the entry node. Immutable and thread-safe.
 *
 * <p>Carrying a call farther costs time, and bytes on links that are paid by volume. The price is
 * told as a part of the goal: a target farther away is taken only when it is expected to answer
 * sooner by more than that.
 */
public enum Nearness {
    /** The same VM. */
    SELF(0, 0),
    /** The same data centre. */
    DATA_CENTRE(0.4, 0.005),
    /** Another data centre of the region. */
    REGION(2.2, 0.04),
    /** Another region, over the paid link. */
    REMOTE(62, 0.25);

    private final double roundTripMilliseconds;
    private final double priceInGoals;

    Nearness(double roundTripMilliseconds, double priceInGoals) {
        this.roundTripMilliseconds = roundTripMilliseconds;
        this.priceInGoals = priceInGoals;
    }

    /** Usual time there and back, in milliseconds. */
    public double roundTripMilliseconds() {
        return roundTripMilliseconds;
    }

    /** What carrying a call there costs, as a part of its goal. */
    public double priceInGoals() {
        return priceInGoals;
    }
}
