package org.damaskmoor.node.internal.operator;

import com.google.common.flogger.FluentLogger;
import io.grpc.Status;
import io.grpc.StatusRuntimeException;
import io.grpc.stub.StreamObserver;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import java.util.function.Supplier;
import org.damaskmoor.schema.operator.ApplyServiceRequest;
import org.damaskmoor.schema.operator.ApplyServiceResponse;
import org.damaskmoor.schema.operator.DeleteServiceRequest;
import org.damaskmoor.schema.operator.DrainNodeRequest;
import org.damaskmoor.schema.operator.DrainNodeResponse;
import org.damaskmoor.schema.operator.ExplainRequest;
import org.damaskmoor.schema.operator.ExplainResponse;
import org.damaskmoor.schema.operator.GetServiceRequest;
import org.damaskmoor.schema.operator.GetServiceResponse;
import org.damaskmoor.schema.operator.GetStatusRequest;
import org.damaskmoor.schema.operator.GetStatusResponse;
import org.damaskmoor.schema.operator.ListServicesRequest;
import org.damaskmoor.schema.operator.ListServicesResponse;
import org.damaskmoor.schema.operator.OperatorServiceGrpc;

/**
 * Operators' calls as gRPC hands them over. Each method passes its call on and answers when the
 * result is there.
 *
 * <p>Thread-safe.
 */
public final class OperatorService extends OperatorServiceGrpc.OperatorServiceImplBase {
    private static final FluentLogger logger = FluentLogger.forEnclosingClass();

    private final ServiceHandler services;
    private final StatusHandler status;
    private final DrainHandler drain;
    private final ExplainHandler explain;

    public OperatorService(
            ServiceHandler services,
            StatusHandler status,
            DrainHandler drain,
            ExplainHandler explain) {
        this.services = services;
        this.status = status;
        this.drain = drain;
        this.explain = explain;
    }

    @Override
    public void applyService(
            ApplyServiceRequest request, StreamObserver<ApplyServiceResponse> caller) {
        answer("apply-service", () -> services.apply(request), caller);
    }

    @Override
    public void deleteService(
            DeleteServiceRequest request, StreamObserver<ApplyServiceResponse> caller) {
        answer("delete-service", () -> services.delete(request), caller);
    }

    @Override
    public void getService(GetServiceRequest request, StreamObserver<GetServiceResponse> caller) {
        answer("get-service", () -> services.find(request.getName()), caller);
    }

    @Override
    public void listServices(
            ListServicesRequest request, StreamObserver<ListServicesResponse> caller) {
        answer("list-services", services::list, caller);
    }

    @Override
    public void getStatus(GetStatusRequest request, StreamObserver<GetStatusResponse> caller) {
        answer("get-status", status::status, caller);
    }

    @Override
    public void drainNode(DrainNodeRequest request, StreamObserver<DrainNodeResponse> caller) {
        answer("drain-node", () -> drain.drain(request.getNodeId()), caller);
    }

    @Override
    public void explain(ExplainRequest request, StreamObserver<ExplainResponse> caller) {
        answer("explain", () -> explain.explain(request), caller);
    }

    private static <T> void answer(
            String call, Supplier<CompletableFuture<T>> handler, StreamObserver<T> caller) {
        CompletableFuture<T> result;
        try {
            result = handler.get();
        } catch (RuntimeException failure) {
            result = CompletableFuture.failedFuture(failure);
        }
        CompletableFuture<?> unused =
                result.whenComplete(
                        (response, failure) -> {
                            if (failure == null) {
                                caller.onNext(response);
                                caller.onCompleted();
                            } else {
                                caller.onError(statusOf(call, failure));
                            }
                        });
    }

    private static StatusRuntimeException statusOf(String call, Throwable failure) {
        Throwable cause = failure instanceof CompletionException ? failure.getCause() : failure;
        if (cause instanceof StatusRuntimeException known) {
            return known;
        }
        logger.atWarning().withCause(cause).log("event=operator-call-failed step=%s", call);
        return Status.INTERNAL
                .withDescription("The node failed at " + call + ": " + cause)
                .asRuntimeException();
    }
}
