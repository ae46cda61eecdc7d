package org.damaskmoor.core.placement;

/**
 * How far a target stands from the entry node. Immutable and thread-safe.
 *
 * <p>Carrying a call farther costs time, and bytes on links that are paid by volume. The price of a
 * kilobyte is told in answers: what a kilobyte costs, divided by what an answer in time is worth.
 */
public enum Proximity {
    /** The same VM. */
    SELF(0, 0),
    /** The same data centre. */
    DATA_CENTRE(0.4, 0),
    /** Another data centre of the region. */
    REGION(2.2, 0.02),
    /** Another region, over the paid link. */
    REMOTE(62, 0.12);

    private final double roundTripMilliseconds;
    private final double pricePerKilobyte;

    Proximity(double roundTripMilliseconds, double pricePerKilobyte) {
        this.roundTripMilliseconds = roundTripMilliseconds;
        this.pricePerKilobyte = pricePerKilobyte;
    }

    /** Usual time there and back, in milliseconds. */
    public double roundTripMilliseconds() {
        return roundTripMilliseconds;
    }

    /** What a kilobyte to there and back costs, in answers. */
    public double pricePerKilobyte() {
        return pricePerKilobyte;
    }
}
