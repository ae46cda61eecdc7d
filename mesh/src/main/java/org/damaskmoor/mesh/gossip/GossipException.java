package org.damaskmoor.mesh.gossip;

import java.net.InetSocketAddress;

/** The gossip transport could not be started. Immutable and thread-safe. */
public final class GossipException extends Exception {
    private static final long serialVersionUID = 1;

    /**
     * A failed step.
     *
     * @param step what was tried
     * @param address the address that it was tried with
     */
    public GossipException(String step, InetSocketAddress address, Throwable cause) {
        super("step=" + step + " address=" + address + ": " + cause.getMessage(), cause);
    }
}
