package org.damaskmoor.relay.internal.caller;

import com.google.protobuf.ByteString;
import java.util.List;
import java.util.Locale;
import org.damaskmoor.platform.protocol.HeaderNames;
import org.damaskmoor.schema.mesh.HeaderField;

/**
 * The reply to a caller. Immutable and thread-safe.
 *
 * @param status HTTP status
 * @param headers headers other than those of the connection
 * @param body its body
 */
public record CallerReply(int status, List<HeaderField> headers, ByteString body) {
    private static final double MILLISECONDS_PER_SECOND = 1000;
    private static final int TOO_MANY_REQUESTS = 429;
    private static final int SERVICE_UNAVAILABLE = 503;

    /** A reply that this node itself makes, with a short text. */
    public static CallerReply ofText(int status, String text) {
        return new CallerReply(status, List.of(), ByteString.copyFromUtf8(text + "\n"));
    }

    /** A reply that the request has no valid API key and was not run. */
    public static CallerReply unauthenticated() {
        HeaderField scheme =
                HeaderField.newBuilder()
                        .setName(HeaderNames.AUTHENTICATE)
                        .setValue(HeaderNames.KEY_SCHEME)
                        .build();
        return new CallerReply(
                401, List.of(scheme), ByteString.copyFromUtf8("The API key is not valid.\n"));
    }

    /** A reply that the request was not run and never will be, and when to retry. */
    public static CallerReply notRun(String reason, long retryAfterMilliseconds) {
        return refusal(SERVICE_UNAVAILABLE, reason, retryAfterMilliseconds);
    }

    /** A reply that the request was not run because its tenant sent too many. */
    public static CallerReply tooManyRequests(String reason, long retryAfterMilliseconds) {
        return refusal(TOO_MANY_REQUESTS, reason, retryAfterMilliseconds);
    }

    private static CallerReply refusal(int status, String reason, long retryAfterMilliseconds) {
        String seconds =
                String.format(
                        Locale.ROOT, "%.3f", retryAfterMilliseconds / MILLISECONDS_PER_SECOND);
        HeaderField retryAfter =
                HeaderField.newBuilder().setName(HeaderNames.RETRY_AFTER).setValue(seconds).build();
        return new CallerReply(
                status, List.of(retryAfter), ByteString.copyFromUtf8("not run: " + reason + "\n"));
    }
}
