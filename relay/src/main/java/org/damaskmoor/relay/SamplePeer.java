package org.damaskmoor.relay;

import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.function.UnaryOperator;

/**
 * A server that answers whatever arrives, for {@link CdsTrainingRun}. Thread-safe.
 *
 * <p>Invariant: its threads are daemons, so that they don't keep the process alive.
 */
final class SamplePeer {
    private static final int BUFFER_BYTES = 64 * 1024;

    private final ServerSocket listening;
    private final UnaryOperator<String> answer;

    private SamplePeer(ServerSocket listening, UnaryOperator<String> answer) {
        this.listening = listening;
        this.answer = answer;
    }

    /** Starts a server that answers each read of a connection with the given function. */
    static SamplePeer start(UnaryOperator<String> answer) throws IOException {
        ServerSocket socket = new ServerSocket(0, 0, InetAddress.getLoopbackAddress());
        SamplePeer peer = new SamplePeer(socket, answer);
        startThread(peer::accept);
        return peer;
    }

    InetSocketAddress address() {
        return new InetSocketAddress(InetAddress.getLoopbackAddress(), listening.getLocalPort());
    }

    private void accept() {
        while (true) {
            try {
                Socket connection = listening.accept();
                startThread(() -> serve(connection));
            } catch (IOException closed) {
                return;
            }
        }
    }

    private void serve(Socket connection) {
        byte[] buffer = new byte[BUFFER_BYTES];
        try (connection) {
            InputStream input = connection.getInputStream();
            for (int read = input.read(buffer); read > 0; read = input.read(buffer)) {
                String request = new String(buffer, 0, read, StandardCharsets.UTF_8);
                connection
                        .getOutputStream()
                        .write(answer.apply(request).getBytes(StandardCharsets.UTF_8));
            }
        } catch (IOException closed) {
            System.err.println("A connection of the training run ended: " + closed.getMessage());
        }
    }

    private static void startThread(Runnable task) {
        Thread thread = new Thread(task, "sample-peer");
        thread.setDaemon(true);
        thread.start();
    }
}
