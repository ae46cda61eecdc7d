package org.damaskmoor.core.configuration;

/** A call to the platform's table failed or was not answered. Immutable and thread-safe. */
public final class ServiceTableException extends RuntimeException {
    private static final long serialVersionUID = 1;

    private final boolean mayHaveTakenEffect;

    /**
     * Creates the exception for a failed call.
     *
     * @param step the attempted operation, for example {@code compare-and-set}
     * @param peer address of the table service
     * @param mayHaveTakenEffect false only if the call certainly never reached the table
     */
    public ServiceTableException(
            String step, String peer, boolean mayHaveTakenEffect, Throwable cause) {
        super("step=" + step + " peer=" + peer + " problem=\"no answer from the table\"", cause);
        this.mayHaveTakenEffect = mayHaveTakenEffect;
    }

    /** Returns whether the call may have changed the table despite the failure. */
    public boolean mayHaveTakenEffect() {
        return mayHaveTakenEffect;
    }
}
