package standin3;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;

/**
 * A backend with large answers. It rejects a long request before it has read its body, keeps the
 * connection, and reads on later. Thread-safe.
 */
public final class ReelBackend implements AutoCloseable {
    public static final int ANSWER_BYTES = 7_000_000;

    /** The byte of which clients' bodies consist. */
    public static final byte BODY_BYTE = 'b';

    private static final long READ_ON_AFTER_MILLISECONDS = 1500;
    private static final int LONG_BODY_BYTES = 100_000;

    /** What was read in the place of a body, if it was anything else than that body. */
    public final List<String> foreignBodies = new CopyOnWriteArrayList<>();

    private final Rig rig;
    private final Relay relay;
    private final ServerSocket listening = new ServerSocket();
    private volatile boolean closed;

    public ReelBackend(Rig rig, Relay relay) throws IOException {
        this.rig = rig;
        this.relay = relay;
        listening.bind(relay.backend, 64);
        start(this::accept);
        start(this::beat);
    }

    private static void start(Runnable task) {
        Thread thread = new Thread(task);
        thread.setDaemon(true);
        thread.start();
    }

    private void accept() {
        try {
            while (true) {
                Socket socket = listening.accept();
                start(() -> serve(socket));
            }
        } catch (IOException ended) {
            // The run has ended.
        }
    }

    private void beat() {
        long born = System.currentTimeMillis();
        for (int sequence = 1; !closed; sequence++) {
            try {
                relay.post(
                        "/v1/Instances.Heartbeat/i-reelhouse",
                        "{\"service\":\"reelhouse\",\"address\":\""
                                + Rig.text(relay.backend)
                                + "\",\"zone\":\"z\",\"version\":\"v1\",\"slots\":6,"
                                + "\"state\":\"ready\",\"coldRemaining\":\"0ms\",\"seq\":"
                                + sequence
                                + ",\"born\":"
                                + born
                                + "}");
                Thread.sleep(1500);
            } catch (IOException | InterruptedException ended) {
                return;
            }
        }
    }

    private void serve(Socket socket) {
        try (socket) {
            InputStream input = new BufferedInputStream(socket.getInputStream());
            while (true) {
                String[] line = line(input).split(" ", 3);
                Map<String, String> headers = headers(input);
                int length = Integer.parseInt(headers.getOrDefault("content-length", "0"));
                String id = headers.getOrDefault("request-id", "");
                if (line[1].equals("/healthz")) {
                    answer(socket, "200 OK", "Instance-Id: i-reelhouse\r\n", new byte[0]);
                    continue;
                }
                rig.note("gets a request", id + " " + line[0] + " " + line[1] + ", body of " + length);
                String own = "Request-Id: " + id + "\r\nServer-Stamp: stamp-" + id + "\r\n";
                if (length >= LONG_BODY_BYTES) {
                    answer(
                            socket,
                            "413 Content Too Large",
                            own,
                            "too long".getBytes(StandardCharsets.ISO_8859_1));
                    Thread.sleep(READ_ON_AFTER_MILLISECONDS);
                    check(id, readBody(input, length, socket));
                } else {
                    input.skipNBytes(length);
                    Thread.sleep(60);
                    answer(
                            socket,
                            "200 OK",
                            own,
                            line[1].startsWith("/reel/")
                                    ? body(id)
                                    : "ok".getBytes(StandardCharsets.ISO_8859_1));
                }
            }
        } catch (IOException | InterruptedException ended) {
            // The relay has closed the connection.
        }
    }

    /** Reads what comes in the place of a body, until it is complete or nothing comes for long. */
    private static byte[] readBody(InputStream input, int length, Socket socket)
            throws IOException {
        byte[] body = new byte[length];
        int at = 0;
        socket.setSoTimeout(4000);
        try {
            while (at < length) {
                int read = input.read(body, at, length - at);
                if (read < 0) {
                    break;
                }
                at += read;
            }
        } catch (IOException silent) {
            // Judged by what has come.
        }
        socket.setSoTimeout(0);
        return Arrays.copyOf(body, at);
    }

    private void check(String id, byte[] body) {
        int first = 0;
        while (first < body.length && body[first] == BODY_BYTE) {
            first++;
        }
        if (first < body.length) {
            String found =
                    new String(
                                    body,
                                    first,
                                    Math.min(200, body.length - first),
                                    StandardCharsets.ISO_8859_1)
                            .replace("\r\n", " | ");
            foreignBodies.add(id);
            rig.note("foreign bytes", "in the body of " + id + " at " + first + ": " + found);
        } else {
            rig.note("reads on", id + ": " + body.length + " bytes, all of them its own");
        }
    }

    private static void answer(Socket socket, String status, String headers, byte[] body)
            throws IOException {
        socket.getOutputStream()
                .write(
                        ("HTTP/1.1 "
                                        + status
                                        + "\r\n"
                                        + headers
                                        + "Content-Length: "
                                        + body.length
                                        + "\r\n\r\n")
                                .getBytes(StandardCharsets.ISO_8859_1));
        socket.getOutputStream().write(body);
    }

    /** The bytes of the backend for a request: its id, again and again. */
    public static byte[] body(String id) {
        byte[] body = new byte[ANSWER_BYTES];
        byte[] part = (id + ";").getBytes(StandardCharsets.ISO_8859_1);
        for (int i = 0; i < body.length; i++) {
            body[i] = part[i % part.length];
        }
        return body;
    }

    /** Fetches an answer at a rate of at most so many bytes a second; 0 for as fast as it comes. */
    public static void fetch(Rig rig, Relay from, String id, int bytesPerSecond) {
        try (Socket socket = new Socket()) {
            socket.setReceiveBufferSize(64 * 1024);
            socket.connect(from.callers);
            socket.setSoTimeout(31_000);
            rig.note("sends", id + " GET /reel/" + id);
            socket.getOutputStream()
                    .write(
                            ("GET /reel/"
                                            + id
                                            + " HTTP/1.1\r\nHost: shop.example\r\nRequest-Id: "
                                            + id
                                            + "\r\nDeadline-Ms: 30000\r\n\r\n")
                                    .getBytes(StandardCharsets.ISO_8859_1));
            InputStream input = new BufferedInputStream(socket.getInputStream(), 16 * 1024);
            String status = line(input);
            int length = Integer.parseInt(headers(input).getOrDefault("content-length", "0"));
            byte[] body = new byte[length];
            long startedAt = System.nanoTime();
            for (int at = 0; at < length; ) {
                int read = input.read(body, at, Math.min(16 * 1024, length - at));
                if (read < 0) {
                    throw new IOException("ends after " + at + " of " + length + " bytes");
                }
                at += read;
                if (bytesPerSecond > 0) {
                    long ahead =
                            at * 1_000_000_000L / bytesPerSecond
                                    - (System.nanoTime() - startedAt);
                    if (ahead > 0) {
                        TimeUnit.NANOSECONDS.sleep(ahead);
                    }
                }
            }
            boolean whole = Arrays.equals(body, body(id));
            rig.note("gets", id + " " + status + (whole ? ", whole" : ", not the backend's body"));
        } catch (IOException | InterruptedException ended) {
            rig.note("no whole answer", id + ": " + ended.getMessage());
        }
    }

    private static Map<String, String> headers(InputStream input) throws IOException {
        Map<String, String> headers = new TreeMap<>();
        for (String header = line(input); !header.isEmpty(); header = line(input)) {
            int colon = header.indexOf(':');
            headers.put(
                    header.substring(0, colon).toLowerCase(Locale.ROOT),
                    header.substring(colon + 1).trim());
        }
        return headers;
    }

    private static String line(InputStream input) throws IOException {
        StringBuilder line = new StringBuilder();
        for (int next = input.read(); next != '\n'; next = input.read()) {
            if (next < 0) {
                throw new IOException("closed");
            }
            if (next != '\r') {
                line.append((char) next);
            }
        }
        return line.toString();
    }

    @Override
    public void close() throws IOException {
        closed = true;
        listening.close();
    }
}
