import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/** A backend of the users: answers requests on its address and announces itself to its relay. */
class Backend {
    /** What the backend does with one request whose body has been read. */
    @FunctionalInterface
    interface Behaviour {
        /** Answers the request; returns false if the connection must be closed. */
        boolean answer(Backend backend, Connection connection, Http.Message request)
                throws Exception;
    }

    /** One connection to the backend. */
    record Connection(Socket socket, InputStream in, OutputStream out) {}

    final Kit kit;
    final String ip;
    final String service;
    volatile String id;
    volatile long born = System.currentTimeMillis();
    volatile long sequence;
    volatile int slots = 9;
    volatile String state = "ready";
    volatile boolean beating = true;
    volatile int receiveBuffer;
    volatile Behaviour behaviour = (backend, connection, request) -> backend.serve(connection, request);
    final Set<Socket> open = ConcurrentHashMap.newKeySet();
    private ServerSocket listener;

    Backend(Kit kit, String ip, String service, String id) {
        this.kit = kit;
        this.ip = ip;
        this.service = service;
        this.id = id;
    }

    Backend start() throws IOException {
        listener = new ServerSocket();
        listener.setReuseAddress(true);
        if (receiveBuffer > 0) {
            listener.setReceiveBufferSize(receiveBuffer);
        }
        listener.bind(new InetSocketAddress(ip, kit.appPort), 260);
        ServerSocket current = listener;
        Kit.thread(() -> accept(current));
        return this;
    }

    /** Crashes: closes the port and all connections. */
    void crash() throws IOException {
        listener.close();
        for (Socket socket : open) {
            socket.close();
        }
    }

    void startBeating() {
        Kit.thread(
                () -> {
                    while (true) {
                        if (beating) {
                            try {
                                beat();
                            } catch (IOException noAck) {
                                kit.record("heartbeat of " + id + " got no ack: " + noAck.getMessage());
                            }
                        }
                        Kit.sleep(1500);
                    }
                });
    }

    /** Sends one heartbeat and returns the status of its answer. */
    int beat() throws IOException {
        sequence++;
        return beat(id, born, sequence, state);
    }

    int beat(String id, long born, long sequence, String state) throws IOException {
        return control(
                "/v1/Instances.Heartbeat/" + id,
                "{\"service\":\"" + service + "\",\"address\":\"" + ip + ":" + kit.appPort
                        + "\",\"zone\":\"zone-" + ip.substring(ip.lastIndexOf('.') + 1) + "\",\"version\":\"v1\",\"slots\":" + slots
                        + ",\"state\":\"" + state + "\",\"coldRemaining\":\"0ms\",\"seq\":" + sequence
                        + ",\"born\":" + born + "}");
    }

    int deregister() throws IOException {
        sequence++;
        return control(
                "/v1/Instances.Deregister/" + id, "{\"seq\":" + sequence + ",\"born\":" + born + "}");
    }

    private int control(String path, String json) throws IOException {
        try (Socket socket = new Socket()) {
            socket.connect(new InetSocketAddress(ip, kit.controlPort), 1000);
            socket.setSoTimeout(1000);
            byte[] body = json.getBytes(StandardCharsets.UTF_8);
            socket.getOutputStream()
                    .write(
                            ("POST " + path + " HTTP/1.1\r\nHost: " + ip
                                            + "\r\nContent-Type: application/json\r\nContent-Length: "
                                            + body.length + "\r\nConnection: close\r\n\r\n" + json)
                                    .getBytes(StandardCharsets.UTF_8));
            return Http.read(new BufferedInputStream(socket.getInputStream())).status();
        }
    }

    private void accept(ServerSocket from) {
        while (!from.isClosed()) {
            try {
                Socket socket = from.accept();
                socket.setTcpNoDelay(true);
                Kit.thread(() -> connection(socket));
            } catch (IOException closed) {
                return;
            }
        }
    }

    private void connection(Socket socket) {
        open.add(socket);
        try (socket) {
            Connection connection =
                    new Connection(
                            socket,
                            new BufferedInputStream(socket.getInputStream()),
                            socket.getOutputStream());
            while (true) {
                Http.Message request = Http.head(connection.in());
                String expected = request.header("expect-instance");
                if (!expected.isEmpty() && !expected.equals(id)) {
                    Http.body(connection.in(), request);
                    send(
                            connection,
                            "HTTP/1.1 421 Misdirected Request\r\nInstance-Id: " + id
                                    + "\r\nContent-Length: 0\r\n\r\n");
                } else if (!early(connection, request)) {
                    Http.body(connection.in(), request);
                    if (!behaviour.answer(this, connection, request)) {
                        return;
                    }
                }
            }
        } catch (Exception ended) {
            // The relay closed the connection.
        } finally {
            open.remove(socket);
        }
    }

    /** Runs before the body is read; true if the request was dealt with. */
    protected boolean early(Connection connection, Http.Message request) throws Exception {
        return false;
    }

    /** Runs a request and answers it as a sound backend does. */
    boolean serve(Connection connection, Http.Message request) throws IOException {
        if (request.word(1).equals("/healthz")) {
            send(connection, health());
            return true;
        }
        kit.ran(this, request);
        send(connection, answer(request, "", "ok " + request.header("request-id")));
        return true;
    }

    String health() {
        return "HTTP/1.1 200 OK\r\nInstance-Id: " + id + "\r\nServer-Load: 0,0," + slots
                + ",100\r\nContent-Length: 0\r\n\r\n";
    }

    String answer(Http.Message request, String moreHeaders, String body) {
        return "HTTP/1.1 200 OK\r\nRequest-Id: " + request.header("request-id")
                + "\r\nServer-Stamp: stamp-" + request.header("request-id") + "\r\nServer-Load: 1,0,"
                + slots + ",100\r\n" + moreHeaders + "Content-Length: " + body.length() + "\r\n\r\n"
                + body;
    }

    void send(Connection connection, String text) throws IOException {
        connection.out().write(text.getBytes(StandardCharsets.ISO_8859_1));
        connection.out().flush();
    }
}
