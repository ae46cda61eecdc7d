package org.damaskmoor.operator;

import io.grpc.ManagedChannel;
import io.grpc.Status;
import io.grpc.StatusRuntimeException;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.function.Function;
import org.damaskmoor.core.settings.SettingsException;
import org.damaskmoor.operator.internal.call.Channels;
import org.damaskmoor.operator.internal.call.StatusExceptionMapper;
import org.damaskmoor.schema.configuration.ServiceConfiguration;
import org.damaskmoor.schema.configuration.VersionedConfiguration;
import org.damaskmoor.schema.operator.ApplyServiceRequest;
import org.damaskmoor.schema.operator.ApplyServiceResponse;
import org.damaskmoor.schema.operator.DeleteServiceRequest;
import org.damaskmoor.schema.operator.DrainNodeRequest;
import org.damaskmoor.schema.operator.DrainNodeResponse;
import org.damaskmoor.schema.operator.ExplainRequest;
import org.damaskmoor.schema.operator.ExplainResponse;
import org.damaskmoor.schema.operator.GetServiceRequest;
import org.damaskmoor.schema.operator.GetStatusRequest;
import org.damaskmoor.schema.operator.GetStatusResponse;
import org.damaskmoor.schema.operator.ListServicesRequest;
import org.damaskmoor.schema.operator.ListServicesResponse;
import org.damaskmoor.schema.operator.OperatorServiceGrpc;
import org.damaskmoor.schema.operator.OperatorServiceGrpc.OperatorServiceBlockingStub;
import org.damaskmoor.schema.settings.OperatorSettings;

/**
 * Blocking client of one node's operator port.
 *
 * <pre>{@code
 * try (OperatorClient client = OperatorClient.open(settings)) {
 *     client.apply(service, client.versionInForce(service.getName()), operationId);
 * }
 * }</pre>
 *
 * <p>Thread-safe. Every call ends within the timeout of the settings and fails with an {@link
 * OperatorException}.
 */
public final class OperatorClient implements AutoCloseable {
    private final OperatorSettings settings;
    private final ManagedChannel channel;

    private OperatorClient(OperatorSettings settings, ManagedChannel channel) {
        this.settings = settings;
        this.channel = channel;
    }

    /**
     * Opens a client; the connection is made with the first call.
     *
     * @throws SettingsException if only some of the TLS files are set or a file cannot be used
     */
    public static OperatorClient open(OperatorSettings settings) throws SettingsException {
        return new OperatorClient(settings, Channels.open(settings));
    }

    /**
     * Creates or changes a service.
     *
     * @param expectedVersion the version to replace; 0 if the service must not exist yet
     * @param operationId id of the change; repeating a change with the same id does not apply it
     *     twice
     */
    public ApplyServiceResponse apply(
            ServiceConfiguration service, long expectedVersion, String operationId)
            throws OperatorException {
        ApplyServiceRequest request =
                ApplyServiceRequest.newBuilder()
                        .setService(service)
                        .setExpectedVersion(expectedVersion)
                        .setOperationId(operationId)
                        .setOperator(changedBy())
                        .build();
        return change(
                "apply",
                repetition(operationId, expectedVersion),
                stub -> stub.applyService(request));
    }

    /**
     * Deletes a service.
     *
     * @param expectedVersion the version to delete
     * @param operationId id of the change; repeating a change with the same id does not apply it
     *     twice
     */
    public ApplyServiceResponse delete(String name, long expectedVersion, String operationId)
            throws OperatorException {
        DeleteServiceRequest request =
                DeleteServiceRequest.newBuilder()
                        .setName(name)
                        .setExpectedVersion(expectedVersion)
                        .setOperationId(operationId)
                        .setOperator(changedBy())
                        .build();
        return change(
                "delete",
                repetition(operationId, expectedVersion),
                stub -> stub.deleteService(request));
    }

    /** Returns the configuration of a service at the node; empty if there is none. */
    public Optional<VersionedConfiguration> find(String name) throws OperatorException {
        GetServiceRequest request = GetServiceRequest.newBuilder().setName(name).build();
        try {
            return Optional.of(stub().getService(request).getConfiguration());
        } catch (StatusRuntimeException failure) {
            if (failure.getStatus().getCode() == Status.Code.NOT_FOUND) {
                return Optional.empty();
            }
            throw exceptionMapper("show").toException(failure);
        }
    }

    /** Returns the version of a service at the node; 0 if there is none. */
    public long versionInForce(String name) throws OperatorException {
        return find(name).map(VersionedConfiguration::getVersion).orElse(0L);
    }

    /** Returns all services that are configured at the node. */
    public ListServicesResponse list() throws OperatorException {
        return invoke("list", stub -> stub.listServices(ListServicesRequest.getDefaultInstance()));
    }

    /** Returns the status of all nodes as the called node sees them. */
    public GetStatusResponse status() throws OperatorException {
        return invoke("status", stub -> stub.getStatus(GetStatusRequest.getDefaultInstance()));
    }

    /** Starts to drain the node, which must be the one that is called. */
    public DrainNodeResponse drain(String node) throws OperatorException {
        DrainNodeRequest request = DrainNodeRequest.newBuilder().setNodeId(node).build();
        return invoke("drain", stub -> stub.drainNode(request));
    }

    /** Returns how the node would route a request, and why. */
    public ExplainResponse explain(ExplainRequest request) throws OperatorException {
        return invoke("explain", stub -> stub.explain(request));
    }

    /** Closes the connection. */
    @Override
    public void close() {
        channel.shutdownNow();
    }

    private <T> T invoke(String step, Function<OperatorServiceBlockingStub, T> call)
            throws OperatorException {
        try {
            return call.apply(stub());
        } catch (StatusRuntimeException failure) {
            throw exceptionMapper(step).toException(failure);
        }
    }

    private <T> T change(
            String step, String repetition, Function<OperatorServiceBlockingStub, T> call)
            throws OperatorException {
        try {
            return call.apply(stub());
        } catch (StatusRuntimeException failure) {
            throw exceptionMapper(step).toChangeException(failure, repetition);
        }
    }

    /**
     * Includes the expected version, so that a repeated change cannot replace a version that the
     * operator has not seen.
     */
    private static String repetition(String operationId, long expectedVersion) {
        return "--operation-id " + operationId + " --expected-version " + expectedVersion;
    }

    private StatusExceptionMapper exceptionMapper(String step) {
        return new StatusExceptionMapper(step, settings.getNode());
    }

    private OperatorServiceBlockingStub stub() {
        return OperatorServiceGrpc.newBlockingStub(channel)
                .withDeadlineAfter(settings.getTimeoutMilliseconds(), TimeUnit.MILLISECONDS);
    }

    private String changedBy() {
        return settings.getChangedBy().isEmpty()
                ? System.getProperty("user.name")
                : settings.getChangedBy();
    }
}
