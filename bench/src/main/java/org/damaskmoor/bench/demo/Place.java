package org.damaskmoor.bench.demo;

import org.damaskmoor.bench.demo.Deployment.Service;

/**
 * One upstream VM of the demo: an upstream, the node beside it, and their ports. Immutable.
 *
 * @param basePort the first of the VM's ports
 */
record Place(String nodeId, String region, String dataCentre, Service service, int basePort) {
    /** How many ports each VM gets. */
    static final int PORTS = 10;

    int httpPort() {
        return basePort;
    }

    int meshPort() {
        return basePort + 1;
    }

    int gossipPort() {
        return basePort + 2;
    }

    int controlPort() {
        return basePort + 3;
    }

    int operatorPort() {
        return basePort + 4;
    }

    int upstreamPort() {
        return basePort + 5;
    }

    String entryUrl() {
        return url(httpPort());
    }

    String controlUrl() {
        return url(controlPort());
    }

    String upstreamUrl() {
        return url(upstreamPort());
    }

    static String url(int port) {
        return "http://127.0.0.1:" + port;
    }
}
