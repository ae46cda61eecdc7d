package org.damaskmoor.node.internal.operator;

import io.grpc.Status;
import io.grpc.StatusRuntimeException;
import java.util.Comparator;
import java.util.List;
import java.util.Locale;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.Function;
import org.damaskmoor.core.configuration.MatchedService;
import org.damaskmoor.core.id.ServiceName;
import org.damaskmoor.core.routing.CandidateEstimate;
import org.damaskmoor.core.routing.Distance;
import org.damaskmoor.node.internal.entry.RequestDescription;
import org.damaskmoor.node.internal.entry.RequestExplanation;
import org.damaskmoor.schema.operator.CandidateExplanation;
import org.damaskmoor.schema.operator.ExplainRequest;
import org.damaskmoor.schema.operator.ExplainResponse;

/**
 * Handles operators' explain calls: describes how a request would be routed and why. Thread-safe.
 */
public final class ExplainHandler {
    private static final double NANOSECONDS_PER_MILLISECOND = TimeUnit.MILLISECONDS.toNanos(1);
    private static final Comparator<CandidateEstimate> NEAREST_FIRST =
            Comparator.comparing(CandidateEstimate::distance)
                    .thenComparing(CandidateEstimate::available, Comparator.reverseOrder())
                    .thenComparingLong(CandidateEstimate::expectedNanoseconds)
                    .thenComparing(weight -> weight.target().id().node());

    private final Function<RequestDescription, CompletableFuture<Optional<RequestExplanation>>>
            entry;

    /**
     * Creates the handler.
     *
     * @param entry explains a request on the caller event loop; empty if there is no such service
     */
    public ExplainHandler(
            Function<RequestDescription, CompletableFuture<Optional<RequestExplanation>>> entry) {
        this.entry = entry;
    }

    CompletableFuture<ExplainResponse> explain(ExplainRequest request) {
        String service = request.getService();
        if (service.isEmpty()) {
            return CompletableFuture.failedFuture(notFound(service));
        }
        RequestDescription description =
                new RequestDescription(
                        new ServiceName(service),
                        valueOrDefault(request.getCaller(), MatchedService.UNIDENTIFIED_CALLER),
                        valueOrDefault(request.getMethod(), "GET"),
                        valueOrDefault(request.getPath(), "/"));
        return entry.apply(description)
                .thenApply(
                        explained ->
                                response(
                                        explained.orElseThrow(() -> notFound(service)),
                                        description.caller()));
    }

    private static StatusRuntimeException notFound(String service) {
        return Status.NOT_FOUND
                .withDescription(
                        "No service named \""
                                + service
                                + "\" is in force here; its requests are refused as"
                                + " unknown-service.")
                .asRuntimeException();
    }

    private static ExplainResponse response(RequestExplanation explained, String caller) {
        List<CandidateEstimate> candidates =
                explained.candidates().stream().sorted(NEAREST_FIRST).toList();
        ExplainResponse.Builder response =
                ExplainResponse.newBuilder()
                        .setRule(explained.rule().name())
                        .setAllowed(explained.allowed())
                        .setNonIdempotent(explained.rule().nonIdempotent())
                        .setDecision(decision(explained, candidates, caller));
        candidates.forEach(candidate -> response.addCandidates(explanation(candidate)));
        return response.build();
    }

    private static CandidateExplanation explanation(CandidateEstimate weight) {
        return CandidateExplanation.newBuilder()
                .setNodeId(weight.target().id().node().value())
                .setDistance(lowerCase(weight.distance()))
                .setCostMilliseconds(weight.expectedNanoseconds() / NANOSECONDS_PER_MILLISECOND)
                .setDetail(
                        String.format(
                                Locale.ROOT,
                                "state=%s available=%s expected_load=%.1f share=%.2f",
                                lowerCase(weight.target().state()),
                                weight.available(),
                                weight.expectedLoad(),
                                weight.share()))
                .build();
    }

    private static String decision(
            RequestExplanation explained, List<CandidateEstimate> candidates, String caller) {
        if (!explained.allowed()) {
            return "Refused as not-allowed: the rule lets in "
                    + String.join(
                            ", ", explained.rule().allowedCallers().stream().sorted().toList())
                    + ", not "
                    + caller
                    + ".";
        }
        long near = candidates.stream().filter(weight -> isOpen(weight, false)).count();
        long far = candidates.stream().filter(weight -> isOpen(weight, true)).count();
        if (near + far == 0) {
            return "Refused: no upstream of the service takes new work.";
        }
        if (near == 0) {
            return "Goes over the paid link, because no upstream in this region takes new work;"
                    + " upstreams that do in other regions: "
                    + far
                    + ".";
        }
        String alsoFar =
                explained.spillsToOtherRegions()
                        ? "; as this region is full, also over the paid link, upstreams there: "
                                + far
                        : "";
        return "Goes to the cheapest of a few sampled; upstreams here that take new work: "
                + near
                + alsoFar
                + ".";
    }

    private static boolean isOpen(CandidateEstimate weight, boolean remote) {
        return weight.available() && (weight.distance() == Distance.REMOTE) == remote;
    }

    private static String valueOrDefault(String value, String defaultValue) {
        return value.isEmpty() ? defaultValue : value;
    }

    private static String lowerCase(Enum<?> value) {
        return value.name().toLowerCase(Locale.ROOT);
    }
}
