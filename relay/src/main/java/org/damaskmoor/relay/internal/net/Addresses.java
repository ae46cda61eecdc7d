package org.damaskmoor.relay.internal.net;

import java.net.InetSocketAddress;

/** Parses and formats addresses as HOST:PORT. Thread-safe: pure functions. */
public final class Addresses {
    private Addresses() {}

    /**
     * Parses an address.
     *
     * @throws IllegalArgumentException if it has another form, or the port is out of range
     */
    public static InetSocketAddress parse(String text) {
        int colon = text.lastIndexOf(':');
        if (colon <= 0) {
            throw new IllegalArgumentException("HOST:PORT");
        }
        int port = Integer.parseInt(text.substring(colon + 1));
        return new InetSocketAddress(text.substring(0, colon), port);
    }

    /** Formats an address as HOST:PORT. */
    public static String format(InetSocketAddress address) {
        return address.getHostString() + ":" + address.getPort();
    }
}
