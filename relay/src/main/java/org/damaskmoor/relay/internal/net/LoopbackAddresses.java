package org.damaskmoor.relay.internal.net;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Addresses on which a relay can listen beside any other program of the machine.
 *
 * <p>Each has an IP address of its own within 127.0.0.0/8, so that no outgoing connection and no
 * other process can take the port between its choice and its use. Thread-safe.
 */
public final class LoopbackAddresses {
    private static final int LOOPBACK_NETWORK = 127;

    /** The first numbers are left to programs that use low loopback addresses. */
    private static final int FIRST_SUBNET = 64;

    private static final int SUBNETS = 128;
    private static final AtomicInteger NEXT_HOST =
            new AtomicInteger((int) ProcessHandle.current().pid() << Byte.SIZE);

    private LoopbackAddresses() {}

    /** Returns an address that nothing listens on. */
    public static InetSocketAddress next() throws IOException {
        int host = NEXT_HOST.getAndIncrement();
        int subnet = FIRST_SUBNET + Math.floorMod(host >>> (2 * Byte.SIZE), SUBNETS);
        byte[] bytes = {LOOPBACK_NETWORK, (byte) subnet, (byte) (host >>> Byte.SIZE), (byte) host};
        InetAddress address = InetAddress.getByAddress(bytes);
        try (ServerSocket socket = new ServerSocket(0, 1, address)) {
            return new InetSocketAddress(address, socket.getLocalPort());
        }
    }
}
