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
 * Applies services as operators do: by gRPC to any node; then waits until every node holds them.
 *
 * <p>Not thread safe.
 */
public final class OperatorServiceApplier implements ServiceApplier {
    private static final int CALL_TIMEOUT_MILLISECONDS = 5_000;
    private static final long IN_FORCE_TIMEOUT_MILLISECONDS = 13_000;
    private static final long POLL_MILLISECONDS = 50;

    private final List<Integer> operatorPorts;
    private int next;

    /** Applies through the operator ports of these nodes, in turn. */
    public OperatorServiceApplier(List<Integer> operatorPorts) {
        this.operatorPorts = List.copyOf(operatorPorts);
    }

    @Override
    public void apply(ServiceConfiguration service) throws IOException {
        int port = operatorPorts.get(next++ % operatorPorts.size());
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
        List<Integer> behind = behind(operatorPorts, service, version);
        while (!behind.isEmpty()) {
            if (System.currentTimeMillis() > end) {
                throw new IOException(
                        "service " + service + " not in force in time at ports " + behind);
            }
            pause();
            behind = behind(behind, service, version);
        }
    }

    private static List<Integer> behind(List<Integer> ports, String service, long version)
            throws IOException, OperatorException {
        List<Integer> behind = new ArrayList<>();
        for (int port : ports) {
            try (OperatorClient client = open(port)) {
                if (client.versionInForce(service) < version) {
                    behind.add(port);
                }
            }
        }
        return behind;
    }

    private static void pause() throws IOException {
        try {
            Thread.sleep(POLL_MILLISECONDS);
        } catch (InterruptedException interrupted) {
            Thread.currentThread().interrupt();
            throw new IOException("interrupted while waiting for a configuration", interrupted);
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
        } catch (SettingsException impossible) {
            throw new IOException(impossible);
        }
    }
}
