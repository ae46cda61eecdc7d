package org.damaskmoor.bench.demo;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.util.stream.IntStream;

/**
 * Finds ports that nobody uses, so that two runs on one machine don't meet.
 *
 * <p>Stateless and safe for all threads.
 */
public final class PortBlocks {
    private static final int FIRST = 21_000;
    private static final int LAST = 32_000;

    private PortBlocks() {}

    /**
     * Returns the first port of a block that is free at the moment.
     *
     * @throws IOException when there is none
     */
    public static int firstFree(int ports) throws IOException {
        return IntStream.iterate(FIRST, first -> first + ports <= LAST, first -> first + ports)
                .filter(first -> isFree(first, ports))
                .findFirst()
                .orElseThrow(() -> new IOException("no " + ports + " free ports in a row"));
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
