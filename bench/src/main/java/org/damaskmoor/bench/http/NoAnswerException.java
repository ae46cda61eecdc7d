package org.damaskmoor.bench.http;

/** Thrown by a servlet to close its connection without an answer. Immutable. */
public final class NoAnswerException extends Exception {
    private static final long serialVersionUID = 1;

    public NoAnswerException() {
        super("connection closed without an answer by an injected fault", null, false, false);
    }
}
