package standin3;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;

/** A client's connection to the outbound address of its machine. Confined to one thread. */
public final class Client implements AutoCloseable {
    private static final int PIECE = 64 * 1024;

    private final Rig rig;
    private final Socket socket;
    private final InputStream input;
    private final boolean quiet;

    /** An answer; status 0 stands for a connection that ended without one. */
    public record Answer(int status, Map<String, String> headers, String body) {
        static final Answer NONE = new Answer(0, Map.of(), "");

        public boolean hasStamp() {
            return headers.containsKey("server-stamp");
        }
    }

    public Client(Rig rig, Relay relay) throws IOException {
        this(rig, relay, false);
    }

    public Client(Rig rig, Relay relay, boolean quiet) throws IOException {
        this.rig = rig;
        this.quiet = quiet;
        socket = new Socket(relay.callers.getAddress(), relay.callers.getPort());
        socket.setTcpNoDelay(true);
        input = new BufferedInputStream(socket.getInputStream());
    }

    /** Sends a request without a body and reads its answer. */
    public Answer exchange(String method, String target, String id, long deadline) {
        return exchange(method, target, id, deadline, 0);
    }

    /** Sends a request with a body of the given length and reads its answer. */
    public Answer exchange(
            String method, String target, String id, long deadline, long bodyBytes) {
        note("sends", id + " " + method + " " + target + (bodyBytes > 0 ? " " + bodyBytes : ""));
        Answer answer;
        try {
            socket.setSoTimeout((int) deadline + 2000);
            send(method, target, id, deadline, bodyBytes);
            answer = read();
        } catch (IOException ended) {
            answer = Answer.NONE;
            note("connection ended", id + ": " + ended.getMessage());
        }
        note(
                "gets",
                id
                        + " status "
                        + answer.status()
                        + " stamp "
                        + answer.headers().getOrDefault("server-stamp", "none")
                        + " "
                        + answer.body().trim());
        return answer;
    }

    private void note(String event, String detail) {
        if (!quiet) {
            rig.note(event, detail);
        }
    }

    private void send(String method, String target, String id, long deadline, long bodyBytes)
            throws IOException {
        String head =
                method
                        + " "
                        + target
                        + " HTTP/1.1\r\nHost: shop.example\r\nRequest-Id: "
                        + id
                        + "\r\nDeadline-Ms: "
                        + deadline
                        + "\r\n"
                        + (bodyBytes > 0 || method.equals("POST")
                                ? "Content-Length: " + bodyBytes + "\r\n"
                                : "")
                        + "\r\n";
        OutputStream output = socket.getOutputStream();
        output.write(head.getBytes(StandardCharsets.ISO_8859_1));
        byte[] piece = new byte[PIECE];
        java.util.Arrays.fill(piece, (byte) 'b');
        for (long left = bodyBytes; left > 0; left -= PIECE) {
            output.write(piece, 0, (int) Math.min(PIECE, left));
        }
        output.flush();
    }

    private Answer read() throws IOException {
        int status = Integer.parseInt(line().split(" ", 3)[1]);
        Map<String, String> headers = new TreeMap<>();
        for (String header = line(); !header.isEmpty(); header = line()) {
            int colon = header.indexOf(':');
            headers.put(
                    header.substring(0, colon).toLowerCase(Locale.ROOT),
                    header.substring(colon + 1).trim());
        }
        int length = Integer.parseInt(headers.getOrDefault("content-length", "0"));
        byte[] body = input.readNBytes(length);
        if (body.length < length) {
            throw new IOException("the answer ends early");
        }
        return new Answer(status, headers, new String(body, StandardCharsets.ISO_8859_1));
    }

    private String line() throws IOException {
        StringBuilder line = new StringBuilder();
        for (int next = input.read(); next != '\n'; next = input.read()) {
            if (next < 0) {
                throw new IOException("closed by the relay");
            }
            if (next != '\r') {
                line.append((char) next);
            }
        }
        return line.toString();
    }

    @Override
    public void close() throws IOException {
        socket.close();
    }
}
