package org.damaskmoor.soak;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.util.random.RandomGenerator;

/**
 * Finds loopback ports that stay free while processes restart: a block below the ports that the
 * system gives to outgoing connections, whose first port is held as long as the block is used.
 *
 * <p>Confined to one thread. Invariants: no port is given twice; two soaks never share a block.
 */
final class Places implements AutoCloseable {
    private static final int FIRST_PORT = 11_000;
    private static final int BLOCK_PORTS = 200;
    private static final int BLOCKS = 100;

    private final ServerSocket held;
    private int next;

    Places(RandomGenerator random) throws IOException {
        held = hold(random.nextInt(BLOCKS));
        next = held.getLocalPort();
    }

    private static ServerSocket hold(int firstBlock) throws IOException {
        for (int i = 0; i < BLOCKS; i++) {
            int port = FIRST_PORT + (firstBlock + i) % BLOCKS * BLOCK_PORTS;
            try {
                return new ServerSocket(port, 1, InetAddress.getLoopbackAddress());
            } catch (IOException taken) {
                // Another soak holds this block.
            }
        }
        throw new IOException("No block of ports is free; end other soaks first.");
    }

    /** An address that nothing listens on. */
    InetSocketAddress free() {
        while (true) {
            next++;
            InetSocketAddress address =
                    new InetSocketAddress(InetAddress.getLoopbackAddress(), next);
            try (ServerSocket socket = new ServerSocket()) {
                socket.bind(address);
                return address;
            } catch (IOException taken) {
                // Something else listens there; the next one may be free.
            }
        }
    }

    @Override
    public void close() throws IOException {
        held.close();
    }
}
