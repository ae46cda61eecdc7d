package org.damaskmoor.bench.demo;

import org.damaskmoor.bench.demo.Deployment.Service;

/**
 * One emulated VM: an upstream, its node and their ports. Immutable.
 *
 * @param basePort the first of the {@link #PORTS} consecutive ports of the VM
 */
public record EmulatedVm(
        String nodeId, String region, String dataCentre, Service service, int basePort) {
    /** Number of ports reserved for each VM. */
    public static final int PORTS = 10;

    public int httpPort() {
        return basePort;
    }

    public int meshPort() {
        return basePort + 1;
    }

    public int gossipPort() {
        return basePort + 2;
    }

    public int controlPort() {
        return basePort + 3;
    }

    public int operatorPort() {
        return basePort + 4;
    }

    public int upstreamPort() {
        return basePort + 5;
    }

    /** Returns the process name of the upstream; the node's process is named after its id. */
    public String upstreamName() {
        return nodeId + "-upstream";
    }

    public String entryUrl() {
        return url(httpPort());
    }

    public String controlUrl() {
        return url(controlPort());
    }

    public String upstreamUrl() {
        return url(upstreamPort());
    }

    public static String url(int port) {
        return "http://127.0.0.1:" + port;
    }
}
