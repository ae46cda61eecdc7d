package org.damaskmoor.bench.http;

import com.google.protobuf.ByteString;
import io.activej.http.HttpResponse;
import java.util.Optional;

/**
 * The answer of a stand-in, independent of the HTTP library. Immutable.
 *
 * @param status the HTTP status
 * @param body the complete body
 * @param entityTag the version of the row, without quotes
 * @param outcome the value of Damaskmoor-Outcome
 */
public record Reply(
        int status, ByteString body, Optional<String> entityTag, Optional<String> outcome) {

    /** Returns a reply without a body. */
    public static Reply of(int status) {
        return new Reply(status, ByteString.EMPTY, Optional.empty(), Optional.empty());
    }

    /** Returns a reply with a body. */
    public static Reply of(int status, ByteString body) {
        return new Reply(status, body, Optional.empty(), Optional.empty());
    }

    /** Returns a reply with a UTF-8 text body. */
    public static Reply of(int status, String text) {
        return of(status, ByteString.copyFromUtf8(text));
    }

    /** Returns this reply with the given entity tag. */
    public Reply withEntityTag(String tag) {
        return new Reply(status, body, Optional.of(tag), outcome);
    }

    /** Returns this reply with the given Damaskmoor-Outcome. */
    public Reply withOutcome(String value) {
        return new Reply(status, body, entityTag, Optional.of(value));
    }

    /** Converts this reply to a response of the HTTP server. */
    public HttpResponse toResponse() {
        HttpResponse.Builder builder = HttpResponse.ofCode(status);
        entityTag.ifPresent(tag -> builder.withHeader(HttpFields.E_TAG, '"' + tag + '"'));
        outcome.ifPresent(value -> builder.withHeader(HttpFields.OUTCOME, value));
        return builder.withBody(body.toByteArray()).build();
    }
}
