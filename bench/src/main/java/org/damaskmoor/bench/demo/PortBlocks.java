package org.damaskmoor.bench.demo;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.util.stream.IntStream;

/**
 * Finds blocks of unused ports, so that concurrent runs on one machine don't conflict.
 *
 * <p>Stateless and thread-safe.
 */
public final class PortBlocks {
    private static final int FIRST_PORT = 21_000;
    private static final int LAST_PORT = 32_000;

    private PortBlocks() {}

    /**
     * Returns the first port of a block of consecutive ports that are free now.
     *
     * @throws IOException when there is no such block
     */
    public static int firstFree(int ports) throws IOException {
        return IntStream.iterate(
                        FIRST_PORT, first -> first + ports <= LAST_PORT, first -> first + ports)
                .filter(first -> isFree(first, ports))
                .findFirst()
                .orElseThrow(
                        () ->
                                new IOException(
                                        "no "
                                                + ports
                                                + " consecutive free ports from "
                                                + FIRST_PORT
                                                + " to "
                                                + LAST_PORT));
    }

    private static boolean isFree(int first, int ports) {
        return IntStream.range(first, first + ports).allMatch(PortBlocks::isFree);
    }

    private static boolean isFree(int port) {
        try (ServerSocket socket = new ServerSocket(port, 1, InetAddress.getLoopbackAddress())) {
            return socket.isBound();
        } catch (IOException e) {
            return false;
        }
    }
}
