import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;

/**
 * Stand-in for a backend: says heartbeats, answers its status check, and runs requests as its
 * handler says.
 */
final class Backend implements AutoCloseable {
    /** Runs a request and writes its answer; false if the connection is to be closed behind it. */
    interface Handler {
        boolean run(Backend backend, Wire.Message request, OutputStream out, Socket socket) throws Exception;
    }

    final String id;
    final String service;
    final int port;
    final int slots = 9;
    final Recorder record;
    final AtomicInteger running = new AtomicInteger();
    volatile String state = "ready";
    volatile boolean silent;
    private final ServerSocket server;
    private final long born = System.currentTimeMillis();
    private final AtomicLong sequence = new AtomicLong();
    /** Answers requests whose bodies it has not read yet, and then reads the body; false to read them first. */
    interface Early {
        boolean answers(Backend backend, Wire.Message head, BufferedInputStream in, OutputStream out) throws Exception;
    }

    private final Handler handler;
    /** If set, it is asked first. */
    volatile Early early;
    private final Set<Socket> sockets = ConcurrentHashMap.newKeySet();
    private volatile int control;

    Backend(String id, String service, Recorder record, Handler handler) throws IOException {
        this.id = id;
        this.service = service;
        this.record = record;
        this.handler = handler;
        this.server = new ServerSocket(0, 300, InetAddress.getLoopbackAddress());
        this.port = server.getLocalPort();
        Threads.start("backend", this::accept);
    }

    /** Starts heartbeats, one a second, to the control address of the machine. */
    void beat(int controlPort) {
        control = controlPort;
        Threads.start("heartbeat", () -> {
            while (!server.isClosed()) {
                if (!silent) {
                    heartbeat();
                }
                Thread.sleep(1000);
            }
        });
    }

    /** Says one heartbeat; returns the status, or 0 if there was no ack within a second. */
    int heartbeat() {
        String body = "{\"service\":\"" + service + "\",\"address\":\"127.0.0.1:" + port
                + "\",\"zone\":\"z\",\"version\":\"v1\",\"slots\":" + slots + ",\"state\":\"" + state
                + "\",\"coldRemaining\":\"0ms\",\"seq\":" + sequence.incrementAndGet() + ",\"born\":" + born + "}";
        return post("/v1/Instances.Heartbeat/" + id, body);
    }

    int deregister() {
        return post("/v1/Instances.Deregister/" + id, "{\"born\":" + born + "}");
    }

    private int post(String path, String body) {
        try (Socket socket = new Socket("127.0.0.1", control)) {
            socket.setSoTimeout(1000);
            socket.getOutputStream().write(("POST " + path
                    + " HTTP/1.1\r\nHost: a\r\nContent-Type: application/json\r\nContent-Length: "
                    + body.length() + "\r\n\r\n" + body).getBytes(StandardCharsets.UTF_8));
            Wire.Message answer = Wire.message(socket.getInputStream(), true);
            return answer == null ? 0 : answer.status();
        } catch (IOException unreachable) {
            return 0;
        }
    }

    private void accept() throws IOException {
        while (true) {
            Socket socket = server.accept();
            socket.setTcpNoDelay(true);
            sockets.add(socket);
            Threads.start("backend-connection", () -> serve(socket));
        }
    }

    private void serve(Socket socket) throws Exception {
        try (socket) {
            BufferedInputStream in = new BufferedInputStream(socket.getInputStream(), 65536);
            OutputStream out = socket.getOutputStream();
            while (true) {
                Wire.Message head = Wire.head(in);
                if (head == null) {
                    return;
                }
                if (early != null && early.answers(this, head, in, out)) {
                    continue;
                }
                Wire.Message request = new Wire.Message(head.first(), head.headers(), Wire.body(in, head, false));
                if (request.path().equals("/healthz")) {
                    out.write(("HTTP/1.1 200 OK\r\nInstance-Id: " + id + "\r\nServer-Load: " + load()
                            + "\r\nContent-Length: 0\r\n\r\n").getBytes(StandardCharsets.US_ASCII));
                    continue;
                }
                String expected = request.header("expect-instance");
                if (!expected.isEmpty() && !expected.equals(id)) {
                    out.write(("HTTP/1.1 421 x\r\nRequest-Id: " + request.header("request-id")
                            + "\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n").getBytes(StandardCharsets.US_ASCII));
                    continue;
                }
                running.incrementAndGet();
                try {
                    if (!handler.run(this, request, out, socket)) {
                        return;
                    }
                } finally {
                    running.decrementAndGet();
                }
            }
        } finally {
            sockets.remove(socket);
        }
    }

    String load() {
        return running.get() + ",0," + slots + ",100";
    }

    static String stamp(Wire.Message request) {
        return "stamp-" + request.header("request-id");
    }

    /** Writes a sound answer with a length. */
    boolean answer(Wire.Message request, OutputStream out, int status, byte[] body) throws IOException {
        out.write(("HTTP/1.1 " + status + " x\r\nRequest-Id: " + request.header("request-id")
                + "\r\nServer-Stamp: " + stamp(request) + "\r\nServer-Load: " + load()
                + "\r\nContent-Length: " + body.length + "\r\n\r\n").getBytes(StandardCharsets.US_ASCII));
        out.write(body);
        out.flush();
        return true;
    }

    /** Ends as a crash does: all connections and the port are closed. */
    @Override
    public void close() throws IOException {
        server.close();
        for (Socket socket : sockets) {
            socket.close();
        }
    }
}
