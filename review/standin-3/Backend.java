package standin3;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.CopyOnWriteArrayList;

/**
 * One lifetime of a backend beside a relay: beats, answers requests, and leaves or falls silent.
 *
 * <p>Thread-safe. Invariant: a request that expects another instance is answered with 421 and not
 * run; each one that was run is in {@link #ran}.
 */
public final class Backend implements AutoCloseable {
    /** How long the work on a request takes. */
    @FunctionalInterface
    public interface Work {
        long milliseconds(Request request);
    }

    /** A request as it was received. */
    public record Request(
            String method, String target, Map<String, String> headers, long bodyBytes, long at) {
        public String id() {
            return headers.getOrDefault("request-id", "");
        }
    }

    public final List<Request> ran = new CopyOnWriteArrayList<>();
    public final String id;
    public final String service;
    public final long born;
    private final Rig rig;
    private final Relay relay;
    private final int slots;
    private final Work work;
    private final ServerSocket listening;
    private final List<Socket> sockets = new CopyOnWriteArrayList<>();
    private volatile boolean dark;
    private volatile boolean beating = true;
    private volatile String state = "ready";
    private volatile String notice = "";
    private long sequence;

    public Backend(Rig rig, Relay relay, String id, String service, int slots, Work work)
            throws IOException {
        this(rig, relay, id, service, slots, work, System.currentTimeMillis());
    }

    public Backend(
            Rig rig, Relay relay, String id, String service, int slots, Work work, long born)
            throws IOException {
        this.rig = rig;
        this.relay = relay;
        this.id = id;
        this.service = service;
        this.slots = slots;
        this.work = work;
        this.born = born;
        listening = new ServerSocket();
        listening.setReuseAddress(true);
        InetSocketAddress address = relay.backend;
        listening.bind(address, 64);
        rig.note("backend starts", id + " of " + service + " at " + Rig.text(address));
        thread(this::accept);
    }

    /** Beats from now on, at the interval of the settings. */
    public void beat(long intervalMilliseconds) {
        thread(
                () -> {
                    while (beating) {
                        try {
                            announce(state, nextSequence());
                        } catch (IOException unreachable) {
                            // The relay does not run; the next beat comes in time.
                        }
                        sleep(intervalMilliseconds);
                    }
                });
    }

    public synchronized long nextSequence() {
        return ++sequence;
    }

    /** The body of a beat. */
    public String beatBody(String saidState, long saidSequence) {
        return "{\"service\":\""
                + service
                + "\",\"address\":\""
                + Rig.text(relay.backend)
                + "\",\"zone\":\"z\",\"version\":\"v1\",\"slots\":"
                + slots
                + ",\"state\":\""
                + saidState
                + "\",\"coldRemaining\":\"0ms\",\"seq\":"
                + saidSequence
                + ",\"born\":"
                + born
                + "}";
    }

    /** Sends a beat now; returns the status of the answer. */
    public int announce(String saidState, long saidSequence) throws IOException {
        int status = relay.post("/v1/Instances.Heartbeat/" + id, beatBody(saidState, saidSequence));
        rig.note(
                "beat",
                id + " " + saidState + " seq " + saidSequence + " born " + born + " -> " + status);
        return status;
    }

    /** Says in its beats, from the next one on, that it is draining. */
    public void drain() {
        state = "draining";
    }

    /** Deregisters; returns the status of the answer. */
    public int deregister() throws IOException {
        beating = false;
        int status = relay.post("/v1/Instances.Deregister/" + id, "{\"born\":" + born + "}");
        rig.note("deregister", id + " -> " + status);
        return status;
    }

    /** Adds header lines to all answers from now on. */
    public void say(String lines) {
        notice = lines;
    }

    /** Falls silent: beats no more, answers nothing, its connections stay open. */
    public void goDark() throws IOException {
        dark = true;
        beating = false;
        listening.close();
        rig.note("backend falls silent", id);
    }

    /** Ends at once: all its connections are closed by the system. */
    @Override
    public void close() throws IOException {
        dark = true;
        beating = false;
        listening.close();
        for (Socket socket : sockets) {
            socket.close();
        }
    }

    private void accept() {
        while (!listening.isClosed()) {
            try {
                Socket socket = listening.accept();
                sockets.add(socket);
                thread(() -> serve(socket));
            } catch (IOException closed) {
                return;
            }
        }
    }

    private void serve(Socket socket) {
        try {
            socket.setTcpNoDelay(true);
            InputStream input = new BufferedInputStream(socket.getInputStream(), 64 * 1024);
            while (true) {
                Request request = read(input);
                if (dark) {
                    return;
                }
                byte[] answer = answer(request);
                if (dark) {
                    return;
                }
                socket.getOutputStream().write(answer);
            }
        } catch (IOException closed) {
            sockets.remove(socket);
        }
    }

    private byte[] answer(Request request) {
        if (request.target().equals("/healthz")) {
            return bytes("200 OK", "Instance-Id: " + id + "\r\n" + notice, "");
        }
        String expected = request.headers().getOrDefault("expect-instance", id);
        if (!expected.equals(id)) {
            rig.note("421", id + " is not " + expected + ": " + request.id());
            return bytes("421 Misdirected Request", "Instance-Id: " + id + "\r\n", "");
        }
        ran.add(request);
        rig.note(
                "runs",
                id + " of " + service + " runs " + request.id() + " " + request.method() + " "
                        + request.target());
        sleep(work.milliseconds(request));
        return bytes(
                "200 OK",
                "Request-Id: "
                        + request.id()
                        + "\r\nServer-Stamp: "
                        + id
                        + "."
                        + request.id()
                        + "\r\n"
                        + notice,
                "answer of " + id + " to " + request.id());
    }

    private static byte[] bytes(String status, String headers, String body) {
        return ("HTTP/1.1 "
                        + status
                        + "\r\n"
                        + headers
                        + "Content-Length: "
                        + body.length()
                        + "\r\n\r\n"
                        + body)
                .getBytes(StandardCharsets.ISO_8859_1);
    }

    private static Request read(InputStream input) throws IOException {
        String[] line = line(input).split(" ", 3);
        Map<String, String> headers = new TreeMap<>();
        for (String header = line(input); !header.isEmpty(); header = line(input)) {
            int colon = header.indexOf(':');
            headers.put(
                    header.substring(0, colon).toLowerCase(Locale.ROOT),
                    header.substring(colon + 1).trim());
        }
        long length = Long.parseLong(headers.getOrDefault("content-length", "0"));
        input.skipNBytes(length);
        return new Request(line[0], line[1], headers, length, System.nanoTime());
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

    private static void thread(Runnable task) {
        Thread thread = new Thread(task);
        thread.setDaemon(true);
        thread.start();
    }

    private static void sleep(long milliseconds) {
        try {
            Thread.sleep(milliseconds);
        } catch (InterruptedException interrupted) {
            Thread.currentThread().interrupt();
        }
    }
}
