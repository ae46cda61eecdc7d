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
 * gRPC service for operators. Each method delegates to a handler and responds when its result is
 * available.
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
            ApplyServiceRequest request, StreamObserver<ApplyServiceResponse> responseObserver) {
        answer("apply-service", () -> services.apply(request), responseObserver);
    }

    @Override
    public void deleteService(
            DeleteServiceRequest request, StreamObserver<ApplyServiceResponse> responseObserver) {
        answer("delete-service", () -> services.delete(request), responseObserver);
    }

    @Override
    public void getService(
            GetServiceRequest request, StreamObserver<GetServiceResponse> responseObserver) {
        answer("get-service", () -> services.find(request.getName()), responseObserver);
    }

    @Override
    public void listServices(
            ListServicesRequest request, StreamObserver<ListServicesResponse> responseObserver) {
        answer("list-services", services::list, responseObserver);
    }

    @Override
    public void getStatus(
            GetStatusRequest request, StreamObserver<GetStatusResponse> responseObserver) {
        answer("get-status", status::status, responseObserver);
    }

    @Override
    public void drainNode(
            DrainNodeRequest request, StreamObserver<DrainNodeResponse> responseObserver) {
        answer("drain-node", () -> drain.drain(request.getNodeId()), responseObserver);
    }

    @Override
    public void explain(ExplainRequest request, StreamObserver<ExplainResponse> responseObserver) {
        answer("explain", () -> explain.explain(request), responseObserver);
    }

    private static <T> void answer(
            String call,
            Supplier<CompletableFuture<T>> handler,
            StreamObserver<T> responseObserver) {
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
                                responseObserver.onNext(response);
                                responseObserver.onCompleted();
                            } else {
                                responseObserver.onError(statusOf(call, failure));
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
