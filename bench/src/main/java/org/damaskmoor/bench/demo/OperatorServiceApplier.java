package org.damaskmoor.bench.demo;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import org.damaskmoor.core.settings.SettingsException;
import org.damaskmoor.operator.OperatorClient;
import org.damaskmoor.operator.OperatorException;
import org.damaskmoor.schema.configuration.ServiceConfiguration;
import org.damaskmoor.schema.settings.OperatorSettings;

/**
 * Applies services through the operator API of any node, then waits until they are in force on
 * every node.
 *
 * <p>Not thread-safe.
 */
public final class OperatorServiceApplier implements ServiceApplier {
    private static final int CALL_TIMEOUT_MILLISECONDS = 5_000;
    private static final long IN_FORCE_TIMEOUT_MILLISECONDS = 13_000;
    private static final long POLL_MILLISECONDS = 50;

    private final List<Integer> operatorPorts;
    private int applied;

    /** Uses the operator ports of these nodes round robin. */
    public OperatorServiceApplier(List<Integer> operatorPorts) {
        this.operatorPorts = List.copyOf(operatorPorts);
    }

    @Override
    public void apply(ServiceConfiguration service) throws IOException {
        int port = operatorPorts.get(applied++ % operatorPorts.size());
        String operationId = "demo-" + service.getName();
        try (OperatorClient client = open(port)) {
            long version = client.apply(service, 0, operationId).getVersion();
            awaitInForce(service.getName(), version);
        } catch (OperatorException failure) {
            throw new IOException(failure.getMessage() + " " + failure.reason(), failure);
        }
    }

    private void awaitInForce(String service, long version) throws IOException, OperatorException {
        long end = System.currentTimeMillis() + IN_FORCE_TIMEOUT_MILLISECONDS;
        List<Integer> outdatedNodes = outdatedNodes(operatorPorts, service, version);
        while (!outdatedNodes.isEmpty()) {
            if (System.currentTimeMillis() > end) {
                throw new IOException(
                        "service "
                                + service
                                + " not in force within "
                                + IN_FORCE_TIMEOUT_MILLISECONDS
                                + " ms on the nodes with operator ports "
                                + outdatedNodes);
            }
            pause();
            outdatedNodes = outdatedNodes(outdatedNodes, service, version);
        }
    }

    private static List<Integer> outdatedNodes(List<Integer> ports, String service, long version)
            throws IOException, OperatorException {
        List<Integer> outdatedNodes = new ArrayList<>();
        for (int port : ports) {
            try (OperatorClient client = open(port)) {
                if (client.versionInForce(service) < version) {
                    outdatedNodes.add(port);
                }
            }
        }
        return outdatedNodes;
    }

    private static void pause() throws IOException {
        try {
            Thread.sleep(POLL_MILLISECONDS);
        } catch (InterruptedException interrupted) {
            Thread.currentThread().interrupt();
            throw new IOException(
                    "interrupted while waiting for a configuration to come into force",
                    interrupted);
        }
    }

    private static OperatorClient open(int port) throws IOException {
        OperatorSettings settings =
                OperatorSettings.newBuilder()
                        .setNode("127.0.0.1:" + port)
                        .setTimeoutMilliseconds(CALL_TIMEOUT_MILLISECONDS)
                        .setChangedBy("demo")
                        .build();
        try {
            return OperatorClient.open(settings);
        } catch (SettingsException invalid) {
            throw new IOException(invalid);
        }
    }
}
