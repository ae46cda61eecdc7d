package org.damaskmoor.report.internal;

/** An option has a value that is not allowed. Immutable and thread-safe. */
public final class InvalidOptionException extends RuntimeException {
    private static final long serialVersionUID = 1L;

    public InvalidOptionException(String flag, String value, String allowed) {
        super(flag + " has the value <" + value + ">, but allowed is " + allowed + ".");
    }
}
