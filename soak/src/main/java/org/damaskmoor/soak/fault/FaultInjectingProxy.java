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
 * A loopback TCP proxy in front of one server whose connections can be delayed, reset, cut in one
 * direction or silenced.
 *
 * <p>Thread-safe. Invariant: a connection that lost bytes stays silent until it is closed, even
 * after the fault has ended; connections opened later work.
 */
public final class FaultInjectingProxy implements AutoCloseable {
    private static final int BUFFER_BYTES = 16 * 1024;
    private static final int BACKLOG = 100;

    /** What the proxy does with the bytes that it receives. */
    public enum Mode {
        PASS,
        DELAY,
        RESET,
        ONE_WAY,
        SILENT
    }

    private final InetSocketAddress server;
    private final LongSupplier clock;
    private final Map<Integer, Long> lastForwardedAt = new ConcurrentHashMap<>();
    private final ServerSocket listener;
    private final List<Connection> connections = new CopyOnWriteArrayList<>();
    private volatile Mode mode = Mode.PASS;
    private volatile long delayMilliseconds;

    /** Opens the proxy; the server does not have to be running yet. */
    public FaultInjectingProxy(
            InetSocketAddress address, InetSocketAddress server, LongSupplier clock)
            throws IOException {
        this.server = server;
        this.clock = clock;
        this.listener = new ServerSocket();
        listener.bind(address, BACKLOG);
        start("accept", this::accept);
    }

    /** Returns the address that clients connect to. */
    public InetSocketAddress address() {
        return new InetSocketAddress(InetAddress.getLoopbackAddress(), listener.getLocalPort());
    }

    /** Starts a fault, or ends the current one with {@link Mode#PASS}. */
    public void setMode(Mode newMode, long newDelayMilliseconds) {
        delayMilliseconds = newDelayMilliseconds;
        mode = newMode;
        if (newMode == Mode.RESET) {
            connections.forEach(Connection::reset);
        }
    }

    /**
     * Returns when bytes from the client on the given port were last forwarded to the server, or 0
     * if never.
     */
    public long lastForwardedAt(int clientPort) {
        return lastForwardedAt.getOrDefault(clientPort, 0L);
    }

    private static void start(String name, Runnable task) {
        Thread thread = new Thread(task, "link-" + name);
        thread.setDaemon(true);
        thread.start();
    }

    private void accept() {
        while (!listener.isClosed()) {
            try {
                open(listener.accept());
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
        start("there", connection::forwardToServer);
    }

    @Override
    public void close() throws IOException {
        listener.close();
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

        void forwardToServer() {
            try {
                client.setTcpNoDelay(true);
                upstream.setTcpNoDelay(true);
                upstream.connect(server);
            } catch (IOException refused) {
                reset();
                return;
            }
            start("back", () -> copy(upstream, client, Mode.ONE_WAY));
            copy(client, upstream, Mode.SILENT);
        }

        /** Copies one direction; drops bytes in the given mode and in {@link Mode#SILENT}. */
        private void copy(Socket from, Socket to, Mode losingMode) {
            byte[] buffer = new byte[BUFFER_BYTES];
            try {
                InputStream input = from.getInputStream();
                OutputStream output = to.getOutputStream();
                int count = input.read(buffer);
                while (count >= 0) {
                    Mode current = mode;
                    if (current == Mode.DELAY) {
                        Thread.sleep(delayMilliseconds);
                    }
                    lostBytes |= current == losingMode || current == Mode.SILENT;
                    if (!lostBytes) {
                        output.write(buffer, 0, count);
                        recordForwarded(to);
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

        private void recordForwarded(Socket to) {
            if (to == upstream) {
                lastForwardedAt.put(client.getPort(), clock.getAsLong());
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
            } catch (IOException alreadyClosed) {
                // The socket is already closed.
            }
        }
    }
}
