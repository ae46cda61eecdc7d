package org.damaskmoor.soak;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.util.random.RandomGenerator;

/**
 * Allocates loopback ports that stay free while processes restart. The ports come from a block
 * below the ephemeral port range; a socket bound to the first port reserves the block.
 *
 * <p>Confined to one thread. Invariants: no port is allocated twice; two soak runs never share a
 * block.
 */
final class PortAllocator implements AutoCloseable {
    private static final int FIRST_PORT = 11_000;
    private static final int BLOCK_PORTS = 200;
    private static final int BLOCKS = 100;

    private final ServerSocket blockHolder;
    private int next;

    PortAllocator(RandomGenerator random) throws IOException {
        blockHolder = reserveBlock(random.nextInt(BLOCKS));
        next = blockHolder.getLocalPort();
    }

    private static ServerSocket reserveBlock(int firstBlock) throws IOException {
        for (int i = 0; i < BLOCKS; i++) {
            int port = FIRST_PORT + (firstBlock + i) % BLOCKS * BLOCK_PORTS;
            try {
                return new ServerSocket(port, 1, InetAddress.getLoopbackAddress());
            } catch (IOException taken) {
                // Another soak run has reserved this block.
            }
        }
        throw new IOException("All port blocks are reserved; stop other soak runs first.");
    }

    /** Returns a loopback address that nothing listens on. */
    InetSocketAddress allocate() {
        while (true) {
            next++;
            InetSocketAddress address =
                    new InetSocketAddress(InetAddress.getLoopbackAddress(), next);
            try (ServerSocket socket = new ServerSocket()) {
                socket.bind(address);
                return address;
            } catch (IOException taken) {
                // Another program listens on this port; try the next one.
            }
        }
    }

    @Override
    public void close() throws IOException {
        blockHolder.close();
    }
}
