package org.damaskmoor.node.internal.http;

/**
 * Ends the HTTP library's processing of a request to which this node replies by itself.
 * Thread-safe.
 */
final class RequestRefusedException extends Exception {
    private static final long serialVersionUID = 1;

    RequestRefusedException() {
        super("request refused before it was dispatched", null, false, false);
    }
}
