package org.damaskmoor.mesh.gossip;

import java.net.InetSocketAddress;

/** The gossip transport could not be started. Immutable and thread-safe. */
public final class GossipException extends Exception {
    private static final long serialVersionUID = 1;

    /**
     * Creates the exception for a failed step.
     *
     * @param step the step that failed
     * @param address the local address
     */
    public GossipException(String step, InetSocketAddress address, Throwable cause) {
        super("step=" + step + " address=" + address + ": " + cause.getMessage(), cause);
    }
}
