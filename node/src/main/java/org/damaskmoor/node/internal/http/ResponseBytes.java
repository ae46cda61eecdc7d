package org.damaskmoor.node.internal.http;

import io.activej.bytebuf.ByteBuf;
import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import org.damaskmoor.schema.mesh.HeaderField;

/** Replies as bytes, where the HTTP library does not write them right. Stateless, thread-safe. */
final class ResponseBytes {
    private ResponseBytes() {}

    /** The reply with its length and {@code Connection: close}. */
    static byte[] closingResponse(CallerReply reply) {
        StringBuilder head = new StringBuilder("HTTP/1.1 ");
        head.append(reply.status()).append(" Refused\r\n");
        for (HeaderField field : reply.headers()) {
            line(head, field.getName(), FieldSyntax.sanitize(field.getValue()));
        }
        line(head, "Content-Length", Integer.toString(reply.body().size()));
        line(head, "Connection", "close");
        head.append("\r\n");
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        bytes.writeBytes(head.toString().getBytes(StandardCharsets.ISO_8859_1));
        bytes.writeBytes(reply.body().toByteArray());
        return bytes.toByteArray();
    }

    /** A head without the "Content-Length: 0" that the library adds to each reply without body. */
    static ByteBuf removeZeroContentLength(ByteBuf head) {
        String text = head.asString(StandardCharsets.ISO_8859_1);
        String without = text.replaceFirst("(?i)\r\nContent-Length: 0(?=\r\n)", "");
        return ByteBuf.wrapForReading(without.getBytes(StandardCharsets.ISO_8859_1));
    }

    private static void line(StringBuilder head, String name, String value) {
        head.append(name).append(": ").append(value).append("\r\n");
    }
}
