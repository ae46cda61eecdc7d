package org.damaskmoor.relay.internal.caller;

import java.util.Optional;

/**
 * A reply with what its encoding needs of the request. Immutable and thread-safe.
 *
 * @param reply the reply
 * @param requestId the id of its request; empty if the request could not be read
 * @param isToHead whether the method of the request was HEAD, so that no body is sent
 */
record OutgoingReply(CallerReply reply, Optional<String> requestId, boolean isToHead) {
    static OutgoingReply to(CallerRequest request, CallerReply reply) {
        return new OutgoingReply(reply, Optional.of(request.id()), request.method().equals("HEAD"));
    }

    static OutgoingReply refusal(int status) {
        return new OutgoingReply(
                CallerReply.ofText(status, "The request was not read."), Optional.empty(), false);
    }
}
