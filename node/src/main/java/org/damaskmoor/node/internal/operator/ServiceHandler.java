package org.damaskmoor.node.internal.operator;

import com.google.common.flogger.FluentLogger;
import io.grpc.Status;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Executor;
import java.util.function.LongSupplier;
import org.damaskmoor.core.configuration.ChangeOutcome;
import org.damaskmoor.core.configuration.ChangeRequest;
import org.damaskmoor.core.id.ServiceName;
import org.damaskmoor.node.internal.configuration.ConfigurationManager;
import org.damaskmoor.schema.configuration.ServiceConfiguration;
import org.damaskmoor.schema.configuration.VersionedConfiguration;
import org.damaskmoor.schema.operator.ApplyServiceRequest;
import org.damaskmoor.schema.operator.ApplyServiceResponse;
import org.damaskmoor.schema.operator.DeleteServiceRequest;
import org.damaskmoor.schema.operator.GetServiceResponse;
import org.damaskmoor.schema.operator.ListServicesResponse;

/**
 * Handles operators' calls that change services in the table and read the services that this node
 * holds.
 *
 * <p>Thread-safe: all work runs on the control event loop.
 */
public final class ServiceHandler {
    private static final FluentLogger logger = FluentLogger.forEnclosingClass();

    private final Executor control;
    private final ConfigurationManager configuration;
    private final LongSupplier epochMilliseconds;

    /**
     * Creates the handler.
     *
     * @param control runs tasks on the control event loop
     * @param configuration applies configuration changes; used on that loop only
     * @param epochMilliseconds the wall clock
     */
    public ServiceHandler(
            Executor control, ConfigurationManager configuration, LongSupplier epochMilliseconds) {
        this.control = control;
        this.configuration = configuration;
        this.epochMilliseconds = epochMilliseconds;
    }

    CompletableFuture<ApplyServiceResponse> apply(ApplyServiceRequest request) {
        return change(
                new ChangeRequest(
                        request.getService(),
                        false,
                        request.getExpectedVersion(),
                        request.getOperationId(),
                        request.getOperator(),
                        epochMilliseconds.getAsLong()));
    }

    CompletableFuture<ApplyServiceResponse> delete(DeleteServiceRequest request) {
        return change(
                new ChangeRequest(
                        ServiceConfiguration.newBuilder().setName(request.getName()).build(),
                        true,
                        request.getExpectedVersion(),
                        request.getOperationId(),
                        request.getOperator(),
                        epochMilliseconds.getAsLong()));
    }

    CompletableFuture<GetServiceResponse> find(String name) {
        return CompletableFuture.supplyAsync(() -> response(name), control);
    }

    CompletableFuture<ListServicesResponse> list() {
        return CompletableFuture.supplyAsync(
                () -> {
                    ListServicesResponse.Builder response = ListServicesResponse.newBuilder();
                    configuration.all().stream()
                            .filter(held -> !held.getDeleted())
                            .forEach(response::addConfigurations);
                    return response.build();
                },
                control);
    }

    private CompletableFuture<ApplyServiceResponse> change(ChangeRequest request) {
        return CompletableFuture.completedFuture(request)
                .thenComposeAsync(configuration::change, control)
                .thenApply(
                        outcome -> {
                            log(request, outcome);
                            return ChangeResponses.responseOf(outcome, request);
                        });
    }

    private GetServiceResponse response(String name) {
        VersionedConfiguration held =
                name.isEmpty()
                        ? VersionedConfiguration.getDefaultInstance()
                        : configuration
                                .find(new ServiceName(name))
                                .orElse(VersionedConfiguration.getDefaultInstance());
        if (held.getVersion() == 0 || held.getDeleted()) {
            throw Status.NOT_FOUND
                    .withDescription(
                            "No service named \""
                                    + name
                                    + "\" is in force here; list the services to see their names.")
                    .asRuntimeException();
        }
        return GetServiceResponse.newBuilder().setConfiguration(held).build();
    }

    private static void log(ChangeRequest request, ChangeOutcome outcome) {
        logger.atInfo().log(
                "event=change-ended outcome=%s service=%s expected_version=%d operation_id=%s"
                        + " operator=%s",
                outcome.getClass().getSimpleName(),
                request.service().getName(),
                request.expectedVersion(),
                request.operationId(),
                request.operator());
    }
}
