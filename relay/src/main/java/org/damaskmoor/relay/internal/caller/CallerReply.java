package org.damaskmoor.relay.internal.caller;

import com.google.protobuf.ByteString;
import java.util.List;
import java.util.Locale;
import org.damaskmoor.platform.protocol.HeaderNames;
import org.damaskmoor.schema.mesh.HeaderField;

/**
 * What a caller gets. Immutable and thread-safe.
 *
 * @param status HTTP status
 * @param headers headers without those of the connection
 * @param body its body
 */
public record CallerReply(int status, List<HeaderField> headers, ByteString body) {
    private static final double MILLISECONDS_PER_SECOND = 1000;

    /** A reply of this node's own, with a short text. */
    public static CallerReply ofText(int status, String text) {
        return new CallerReply(status, List.of(), ByteString.copyFromUtf8(text + "\n"));
    }

    /** Tells that the request has not run and never will, and when to come again. */
    public static CallerReply notRun(String reason, long retryAfterMilliseconds) {
        String seconds =
                String.format(
                        Locale.ROOT, "%.3f", retryAfterMilliseconds / MILLISECONDS_PER_SECOND);
        HeaderField retryAfter =
                HeaderField.newBuilder().setName(HeaderNames.RETRY_AFTER).setValue(seconds).build();
        return new CallerReply(
                503, List.of(retryAfter), ByteString.copyFromUtf8("not run: " + reason + "\n"));
    }
}
