package org.damaskmoor.core.configuration;

/** The platform's table gave no answer. Immutable and thread-safe. */
public final class ServiceTableException extends RuntimeException {
    private static final long serialVersionUID = 1;

    private final boolean mayHaveTakenEffect;

    /**
     * A failed call.
     *
     * @param step what was tried, for example {@code compare-and-set}
     * @param peer address of the table service
     * @param mayHaveTakenEffect false only when the call certainly never reached the table
     */
    public ServiceTableException(
            String step, String peer, boolean mayHaveTakenEffect, Throwable cause) {
        super("step=" + step + " peer=" + peer + " problem=\"no answer from the table\"", cause);
        this.mayHaveTakenEffect = mayHaveTakenEffect;
    }

    /** Whether the call may have changed the table all the same. */
    public boolean mayHaveTakenEffect() {
        return mayHaveTakenEffect;
    }
}
