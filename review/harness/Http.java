import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.util.TreeMap;

/** Reads HTTP/1.1 messages from a stream. */
final class Http {
    /** A message: its first line, its headers (names in lower case) and its body. */
    static final class Message {
        String first;
        final TreeMap<String, String> headers = new TreeMap<>();
        byte[] body = new byte[0];

        String header(String name) {
            return headers.getOrDefault(name.toLowerCase(), "");
        }

        String word(int index) {
            return first.split(" ", 3)[index];
        }

        int status() {
            return Integer.parseInt(word(1));
        }
    }

    private Http() {}

    private static String line(InputStream in) throws IOException {
        ByteArrayOutputStream line = new ByteArrayOutputStream();
        int c = in.read();
        if (c < 0) {
            throw new EOFException("closed");
        }
        while (c >= 0 && c != '\n') {
            if (c != '\r') {
                line.write(c);
            }
            c = in.read();
        }
        if (c < 0) {
            throw new EOFException("cut");
        }
        return line.toString(StandardCharsets.ISO_8859_1);
    }

    static Message head(InputStream in) throws IOException {
        Message message = new Message();
        message.first = line(in);
        for (String line = line(in); !line.isEmpty(); line = line(in)) {
            int colon = line.indexOf(':');
            if (colon > 0) {
                message.headers.put(
                        line.substring(0, colon).trim().toLowerCase(),
                        line.substring(colon + 1).trim());
            }
        }
        return message;
    }

    /** Reads a body with a length or in chunks; one that is cut is an EOFException. */
    static void body(InputStream in, Message message) throws IOException {
        if (message.header("transfer-encoding").equalsIgnoreCase("chunked")) {
            ByteArrayOutputStream all = new ByteArrayOutputStream();
            for (int size = chunk(in); size > 0; size = chunk(in)) {
                all.write(exactly(in, size));
                line(in);
            }
            line(in);
            message.body = all.toByteArray();
        } else if (!message.header("content-length").isEmpty()) {
            message.body = exactly(in, Integer.parseInt(message.header("content-length")));
        }
    }

    private static int chunk(InputStream in) throws IOException {
        return Integer.parseInt(line(in).split(";")[0].trim(), 16);
    }

    private static byte[] exactly(InputStream in, int length) throws IOException {
        byte[] bytes = in.readNBytes(length);
        if (bytes.length < length) {
            throw new EOFException("cut after " + bytes.length + " of " + length + " body bytes");
        }
        return bytes;
    }

    static Message read(InputStream in) throws IOException {
        Message message = head(in);
        body(in, message);
        return message;
    }
}
