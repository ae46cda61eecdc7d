package org.damaskmoor.bench.http;

/** Thrown by a servlet that wants its connection closed without an answer. Immutable. */
public final class NoAnswerException extends Exception {
    private static final long serialVersionUID = 1;

    public NoAnswerException() {
        super("closed without an answer by a switched fault", null, false, false);
    }
}
