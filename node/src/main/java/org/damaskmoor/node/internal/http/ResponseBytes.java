package org.damaskmoor.node.internal.http;

import io.activej.bytebuf.ByteBuf;
import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import org.damaskmoor.schema.mesh.HeaderField;

/**
 * Serializes or edits responses where the HTTP library's output is wrong. Stateless and
 * thread-safe.
 */
final class ResponseBytes {
    private ResponseBytes() {}

    /** Serializes a reply with its length and {@code Connection: close}. */
    static byte[] closingResponse(CallerReply reply) {
        StringBuilder head = new StringBuilder("HTTP/1.1 ");
        head.append(reply.status()).append(" Refused\r\n");
        for (HeaderField field : reply.headers()) {
            appendLine(head, field.getName(), FieldSyntax.sanitize(field.getValue()));
        }
        appendLine(head, "Content-Length", Integer.toString(reply.body().size()));
        appendLine(head, "Connection", "close");
        head.append("\r\n");
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        bytes.writeBytes(head.toString().getBytes(StandardCharsets.ISO_8859_1));
        bytes.writeBytes(reply.body().toByteArray());
        return bytes.toByteArray();
    }

    /** Removes the "Content-Length: 0" that the library adds to every response without a body. */
    static ByteBuf removeZeroContentLength(ByteBuf head) {
        String text = head.asString(StandardCharsets.ISO_8859_1);
        String edited = text.replaceFirst("(?i)\r\nContent-Length: 0(?=\r\n)", "");
        return ByteBuf.wrapForReading(edited.getBytes(StandardCharsets.ISO_8859_1));
    }

    private static void appendLine(StringBuilder head, String name, String value) {
        head.append(name).append(": ").append(value).append("\r\n");
    }
}
