import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.Locale;
import java.util.Map;

/** Reads HTTP/1.1 messages from a stream. */
final class Wire {
    /** A request or an answer; header names are in lower case. */
    record Message(String first, Map<String, String> headers, byte[] body) {
        String header(String name) {
            return headers.getOrDefault(name.toLowerCase(Locale.ROOT), "");
        }

        String method() {
            return first.split(" ")[0];
        }

        String path() {
            return first.split(" ")[1];
        }

        int status() {
            return Integer.parseInt(first.split(" ")[1]);
        }

        boolean closes() {
            return header("connection").equalsIgnoreCase("close");
        }
    }

    private Wire() {}

    /** Reads a line; null at the end of the stream before its first byte. */
    static String line(InputStream in) throws IOException {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        while (true) {
            int next = in.read();
            if (next < 0) {
                if (bytes.size() == 0) {
                    return null;
                }
                throw new EOFException("the stream ended within a line");
            }
            if (next == '\n') {
                return bytes.toString(StandardCharsets.ISO_8859_1).replace("\r", "");
            }
            bytes.write(next);
        }
    }

    /** Reads the first line and the headers; null at the end of the stream. */
    static Message head(InputStream in) throws IOException {
        String first = line(in);
        if (first == null) {
            return null;
        }
        Map<String, String> headers = new LinkedHashMap<>();
        for (String next = line(in); next == null || !next.isEmpty(); next = line(in)) {
            if (next == null) {
                throw new EOFException("the stream ended within the headers");
            }
            int colon = next.indexOf(':');
            headers.merge(
                    next.substring(0, colon).toLowerCase(Locale.ROOT),
                    next.substring(colon + 1).trim(),
                    (a, b) -> a + "," + b);
        }
        return new Message(first, headers, new byte[0]);
    }

    /** Reads a whole message; null at the end of the stream. */
    static Message message(InputStream in, boolean isAnswer) throws IOException {
        Message head = head(in);
        return head == null ? null : new Message(head.first(), head.headers(), body(in, head, isAnswer));
    }

    static byte[] body(InputStream in, Message head, boolean isAnswer) throws IOException {
        if (head.header("transfer-encoding").equalsIgnoreCase("chunked")) {
            ByteArrayOutputStream all = new ByteArrayOutputStream();
            while (true) {
                String size = line(in);
                if (size == null) {
                    throw new EOFException("the stream ended within the chunks");
                }
                int length = Integer.parseInt(size.trim(), 16);
                if (length == 0) {
                    line(in);
                    return all.toByteArray();
                }
                all.write(exactly(in, length));
                line(in);
            }
        }
        if (!head.header("content-length").isEmpty()) {
            return exactly(in, Integer.parseInt(head.header("content-length")));
        }
        return isAnswer && head.status() != 204 && head.status() != 304
                ? in.readAllBytes()
                : new byte[0];
    }

    private static byte[] exactly(InputStream in, int length) throws IOException {
        byte[] read = in.readNBytes(length);
        if (read.length < length) {
            throw new EOFException("the stream ended within the body");
        }
        return read;
    }
}
