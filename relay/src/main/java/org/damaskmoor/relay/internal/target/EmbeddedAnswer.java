package org.damaskmoor.relay.internal.target;

import com.google.protobuf.ByteString;
import java.nio.charset.StandardCharsets;
import java.util.regex.Pattern;
import org.damaskmoor.platform.protocol.HeaderNames;

/**
 * Finds the head of another answer in the body of an answer.
 *
 * <p>Without a length, a second answer that the upstream appends is decoded as a part of the body.
 * A status line alone may be quoted by a body; one that is followed by the id of a request is taken
 * for a second answer.
 *
 * <p>Stateless and thread-safe.
 */
final class EmbeddedAnswer {
    /** At most 64 fields before the id, which bounds the depth of the match. */
    private static final Pattern HEAD =
            Pattern.compile(
                    "HTTP/[0-9]\\.[0-9] [0-9]{3}[^\r\n]*\r\n(?:[^\r\n]+\r\n){0,64}?"
                            + "(?i:"
                            + HeaderNames.REQUEST_ID
                            + "):");

    private EmbeddedAnswer() {}

    static boolean isWithin(ByteString body) {
        return HEAD.matcher(body.toString(StandardCharsets.ISO_8859_1)).find();
    }
}
