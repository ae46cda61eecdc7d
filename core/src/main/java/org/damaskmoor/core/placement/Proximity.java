package org.damaskmoor.core.placement;

/**
 * Network distance between the entry node and a target. Immutable and thread-safe.
 *
 * <p>A more distant target costs round-trip time, and money for bytes on links that are billed by
 * volume. The price of a kilobyte is relative to the value of one answer in time.
 */
public enum Proximity {
    /** Same VM. */
    SELF(0, 0),
    /** Same data centre. */
    DATA_CENTRE(0.4, 0),
    /** Another data centre of the same region. */
    REGION(2.2, 0.02),
    /** Another region, over the link that is billed by volume. */
    REMOTE(62, 0.12);

    private final double roundTripMilliseconds;
    private final double pricePerKilobyte;

    Proximity(double roundTripMilliseconds, double pricePerKilobyte) {
        this.roundTripMilliseconds = roundTripMilliseconds;
        this.pricePerKilobyte = pricePerKilobyte;
    }

    /** Typical network round-trip time, in milliseconds. */
    public double roundTripMilliseconds() {
        return roundTripMilliseconds;
    }

    /** Price of a kilobyte of call and answer, relative to the value of an answer in time. */
    public double pricePerKilobyte() {
        return pricePerKilobyte;
    }
}
