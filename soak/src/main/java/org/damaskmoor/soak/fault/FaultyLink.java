package org.damaskmoor.soak.fault;

import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.function.LongSupplier;

/**
 * A proxy on loopback between a program and one address that it connects to, whose connections can
 * be delayed, reset, cut one way or silenced.
 *
 * <p>Thread-safe. Invariant: a connection that lost bytes stays silent until it is closed, also
 * after the fault has ended; connections that are opened later work.
 */
public final class FaultyLink implements AutoCloseable {
    private static final int BUFFER_BYTES = 16 * 1024;
    private static final int BACKLOG = 100;

    /** What happens to bytes. */
    public enum Mode {
        PASS,
        DELAY,
        RESET,
        ONE_WAY,
        SILENT
    }

    private final InetSocketAddress server;
    private final LongSupplier clock;
    private final Map<Integer, Long> passedOnAt = new ConcurrentHashMap<>();
    private final ServerSocket listening;
    private final List<Connection> connections = new CopyOnWriteArrayList<>();
    private volatile Mode mode = Mode.PASS;
    private volatile long delayMilliseconds;

    /** Opens the proxy; the server need not be there yet. */
    public FaultyLink(InetSocketAddress address, InetSocketAddress server, LongSupplier clock)
            throws IOException {
        this.server = server;
        this.clock = clock;
        this.listening = new ServerSocket();
        listening.bind(address, BACKLOG);
        start("accept", this::accept);
    }

    /** Where programs connect to. */
    public InetSocketAddress address() {
        return new InetSocketAddress(InetAddress.getLoopbackAddress(), listening.getLocalPort());
    }

    /** Begins a fault, or ends the present one with {@link Mode#PASS}. */
    public void mode(Mode newMode, long newDelayMilliseconds) {
        delayMilliseconds = newDelayMilliseconds;
        mode = newMode;
        if (newMode == Mode.RESET) {
            connections.forEach(Connection::reset);
        }
    }

    /** When bytes of the client on a port last reached the server, by the clock; 0 for never. */
    public long passedOnAt(int clientPort) {
        return passedOnAt.getOrDefault(clientPort, 0L);
    }

    private static void start(String name, Runnable task) {
        Thread thread = new Thread(task, "link-" + name);
        thread.setDaemon(true);
        thread.start();
    }

    private void accept() {
        while (!listening.isClosed()) {
            try {
                open(listening.accept());
            } catch (IOException closed) {
                return;
            }
        }
    }

    private void open(Socket client) {
        Connection connection = new Connection(client, new Socket());
        connections.add(connection);
        if (mode == Mode.RESET) {
            connection.reset();
            return;
        }
        start("there", connection::there);
    }

    @Override
    public void close() throws IOException {
        listening.close();
        connections.forEach(Connection::reset);
    }

    private final class Connection {
        private final Socket client;
        private final Socket upstream;
        private volatile boolean lostBytes;

        Connection(Socket client, Socket upstream) {
            this.client = client;
            this.upstream = upstream;
        }

        void there() {
            try {
                client.setTcpNoDelay(true);
                upstream.setTcpNoDelay(true);
                upstream.connect(server);
            } catch (IOException refused) {
                reset();
                return;
            }
            start("back", () -> pump(upstream, client, Mode.ONE_WAY));
            pump(client, upstream, Mode.SILENT);
        }

        /** Copies one direction; bytes are lost in the given mode, and when all is silent. */
        private void pump(Socket from, Socket to, Mode losing) {
            byte[] buffer = new byte[BUFFER_BYTES];
            try {
                InputStream input = from.getInputStream();
                OutputStream output = to.getOutputStream();
                int count = input.read(buffer);
                while (count >= 0) {
                    Mode present = mode;
                    if (present == Mode.DELAY) {
                        Thread.sleep(delayMilliseconds);
                    }
                    lostBytes |= present == losing || present == Mode.SILENT;
                    if (!lostBytes) {
                        output.write(buffer, 0, count);
                        notePassed(to);
                    }
                    count = input.read(buffer);
                }
                if (!lostBytes) {
                    to.shutdownOutput();
                }
            } catch (IOException ended) {
                reset();
            } catch (InterruptedException interrupted) {
                Thread.currentThread().interrupt();
            }
            if (client.isOutputShutdown() && upstream.isOutputShutdown()) {
                reset();
            }
        }

        private void notePassed(Socket to) {
            if (to == upstream) {
                passedOnAt.put(client.getPort(), clock.getAsLong());
            }
        }

        void reset() {
            connections.remove(this);
            close(client);
            close(upstream);
        }

        private void close(Socket socket) {
            try {
                socket.setSoLinger(true, 0);
                socket.close();
            } catch (IOException closedBefore) {
                // Nothing is left to close.
            }
        }
    }
}
