package org.damaskmoor.node.internal.http;

/** Ends the HTTP library's part of a request that this node refused by itself. Thread-safe. */
final class RequestRefusedException extends Exception {
    private static final long serialVersionUID = 1;

    RequestRefusedException() {
        super("refused", null, false, false);
    }
}
