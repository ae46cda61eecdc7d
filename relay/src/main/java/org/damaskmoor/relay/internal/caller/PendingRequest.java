package org.damaskmoor.relay.internal.caller;

/** A request from its reading to its reply. Confined to the event loop. */
final class PendingRequest {
    private final CallerRequest request;
    private boolean answered;
    private Runnable onDisconnect = () -> {};

    PendingRequest(CallerRequest request) {
        this.request = request;
    }

    CallerRequest request() {
        return request;
    }

    /** Whether it names its host and its id, without which it is not handled. */
    boolean isNamed() {
        return !request.id().isEmpty() && !request.host().isEmpty();
    }

    /** The request was handed over, and possibly answered meanwhile. */
    void onStarted(Runnable newOnDisconnect) {
        if (!answered) {
            onDisconnect = newOnDisconnect;
        }
    }

    void onAnswered() {
        answered = true;
        onDisconnect = () -> {};
    }

    void onDisconnected() {
        onDisconnect.run();
        onDisconnect = () -> {};
    }
}
