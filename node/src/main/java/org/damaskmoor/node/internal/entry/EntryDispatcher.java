package org.damaskmoor.node.internal.entry;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.Function;
import java.util.function.LongSupplier;
import org.damaskmoor.core.id.CallerName;
import org.damaskmoor.core.id.Incarnation;
import org.damaskmoor.core.id.NodeId;
import org.damaskmoor.core.id.RequestId;
import org.damaskmoor.core.id.ServiceName;
import org.damaskmoor.node.internal.http.CallerReply;
import org.damaskmoor.node.internal.http.CallerRequest;
import org.damaskmoor.node.internal.http.CallerRequestHandler;
import org.damaskmoor.schema.mesh.Call;
import org.damaskmoor.schema.mesh.MeshFrame;
import org.damaskmoor.schema.mesh.RefusalReason;

/**
 * Matches callers' requests at an entry node, refuses those that may not be sent, and starts an
 * exchange for each of the others.
 *
 * <p>Confined to the caller event loop; frames reach it through a mailbox. Invariant: a frame for
 * another request, or for one that has ended, has no effect.
 */
public final class EntryDispatcher implements CallerRequestHandler {
    private static final ServiceName UNMATCHED_SERVICE = new ServiceName("none");

    private final NodeId self;
    private final Incarnation incarnation;
    private final EntryLimits limits;
    private final RequestMatcher matcher;
    private final Function<MatchedRequest, ServiceRuntime> runtimes;
    private final ExchangeContext context;
    private final Map<Long, EntryExchange> exchanges = new ConcurrentHashMap<>();
    private final LongSupplier epochMilliseconds;
    private long lastSequence;

    EntryDispatcher(
            NodeId self,
            Incarnation incarnation,
            EntryLimits limits,
            RequestMatcher matcher,
            Function<MatchedRequest, ServiceRuntime> runtimes,
            EntryDependencies dependencies) {
        this.self = self;
        this.incarnation = incarnation;
        this.limits = limits;
        this.matcher = matcher;
        this.runtimes = runtimes;
        this.epochMilliseconds = dependencies.epochMilliseconds();
        this.context =
                new ExchangeContext(
                        dependencies.clock(),
                        dependencies.timers(),
                        dependencies.frameSender(),
                        dependencies.refusals(),
                        dependencies.outcomes(),
                        finished -> exchanges.remove(finished.id().sequence()),
                        limits.acceptanceTimeoutMilliseconds());
    }

    @Override
    public Runnable handle(CallerRequest request, Consumer<CallerReply> reply) {
        Optional<MatchedRequest> matched = matcher.match(request);
        if (matched.isEmpty()) {
            refuse(unmatchedTemplate(request), RefusalReason.UNKNOWN_SERVICE, reply);
            return () -> {};
        }
        RequestId id = new RequestId(self, incarnation, ++lastSequence);
        CallTemplate template = createTemplate(id, request, matched.get());
        if (!matched.get().allowed()) {
            refuse(template, RefusalReason.NOT_ALLOWED, reply);
            return () -> {};
        }
        if (exchanges.size() >= limits.openRequests()) {
            refuse(template, RefusalReason.NODE_BUSY, reply);
            return () -> {};
        }
        return start(id, template, runtimes.apply(matched.get()), reply);
    }

    @Override
    public void refuseUnparsed(String caller, RefusalReason reason, Consumer<CallerReply> reply) {
        refuse(
                new CallTemplate(
                        UNMATCHED_SERVICE,
                        new CallerName(caller),
                        Call.getDefaultInstance(),
                        context.now(),
                        context.now()),
                reason,
                reply);
    }

    /** Number of requests that have no response yet. */
    public int openRequests() {
        return exchanges.size();
    }

    /** Passes a frame from a target to the exchange that it belongs to. */
    public void onFrame(MeshFrame frame) {
        switch (frame.getBodyCase()) {
            case ACCEPTED ->
                    findExchange(frame.getAccepted().getRequestId())
                            .ifPresent(
                                    exchange ->
                                            exchange.onAccepted(frame.getAccepted().getAttempt()));
            case ANSWER ->
                    findExchange(frame.getAnswer().getRequestId())
                            .ifPresent(exchange -> exchange.onAnswer(frame.getAnswer()));
            case REFUSED ->
                    findExchange(frame.getRefused().getRequestId())
                            .ifPresent(exchange -> exchange.onRefused(frame.getRefused()));
            case FAILED ->
                    findExchange(frame.getFailed().getRequestId())
                            .ifPresent(exchange -> exchange.onFailed(frame.getFailed()));
            case SEALED ->
                    findExchange(frame.getSealed().getRequestId())
                            .ifPresent(
                                    exchange ->
                                            exchange.onSealResult(
                                                    frame.getSealed().getAttempt(),
                                                    frame.getSealed().getState()));
            default ->
                    throw new IllegalArgumentException(
                            "not a frame for an entry node: " + frame.getBodyCase());
        }
    }

    /** Handles a frame that was certainly not sent. */
    public void onUnsent(MeshFrame frame, RefusalReason reason) {
        if (frame.hasCall()) {
            findExchange(frame.getCall().getRequestId())
                    .ifPresent(
                            exchange ->
                                    exchange.onCallUnsent(frame.getCall().getAttempt(), reason));
        } else if (frame.hasSeal()) {
            findExchange(frame.getSeal().getRequestId())
                    .ifPresent(exchange -> exchange.onSealUnsent(frame.getSeal().getAttempt()));
        }
    }

    /**
     * Handles a lost connection to a target; frames sent before the given time may or may not have
     * arrived.
     */
    public void onConnectionLost(NodeId target, long sentBeforeNanoseconds) {
        for (EntryExchange exchange : List.copyOf(exchanges.values())) {
            exchange.onConnectionLost(target, sentBeforeNanoseconds);
        }
    }

    private Runnable start(
            RequestId id,
            CallTemplate template,
            ServiceRuntime runtime,
            Consumer<CallerReply> reply) {
        EntryExchange exchange = new EntryExchange(id, template, runtime, context, reply);
        exchanges.put(id.sequence(), exchange);
        exchange.start();
        return exchange::onCallerDisconnected;
    }

    private CallTemplate createTemplate(
            RequestId id, CallerRequest request, MatchedRequest matched) {
        long timeout = timeoutMilliseconds(request, matched);
        long elapsed = TimeUnit.NANOSECONDS.toMillis(context.now() - request.arrivalNanoseconds());
        Call call =
                Call.newBuilder()
                        .setRequestId(EntryFrames.toMessage(id))
                        .setService(matched.service().value())
                        .setMethod(request.method())
                        .setTarget(request.target())
                        .addAllHeaders(request.headers())
                        .setBody(request.body())
                        .setCaller(matched.caller().value())
                        .setKind(matched.kind())
                        .setIdempotencyKey(request.header("Idempotency-Key"))
                        .setNonIdempotent(matched.nonIdempotent())
                        .setClaim(matched.claim())
                        .setWeight(matched.weight())
                        .setImportance(matched.importance())
                        .setConfigurationVersion(matched.configurationVersion())
                        .setDeadlineEpochMilliseconds(
                                epochMilliseconds.getAsLong() + timeout - elapsed)
                        .build();
        long deadline = request.arrivalNanoseconds() + TimeUnit.MILLISECONDS.toNanos(timeout);
        return new CallTemplate(
                matched.service(), matched.caller(), call, request.arrivalNanoseconds(), deadline);
    }

    private long timeoutMilliseconds(CallerRequest request, MatchedRequest matched) {
        long maximum =
                matched.timeoutMilliseconds() > 0
                        ? matched.timeoutMilliseconds()
                        : limits.defaultTimeoutMilliseconds();
        return DeadlineHeader.timeoutMilliseconds(request).stream()
                .map(requested -> Math.min(requested, maximum))
                .findFirst()
                .orElse(maximum);
    }

    private CallTemplate unmatchedTemplate(CallerRequest request) {
        String name = request.header("Damaskmoor-Caller");
        CallerName caller = new CallerName(name.isEmpty() ? "unknown" : name);
        long arrival = request.arrivalNanoseconds();
        return new CallTemplate(
                UNMATCHED_SERVICE, caller, Call.getDefaultInstance(), arrival, arrival);
    }

    private void refuse(CallTemplate template, RefusalReason reason, Consumer<CallerReply> reply) {
        context.refuse(template, reason, 0, reply);
    }

    private Optional<EntryExchange> findExchange(org.damaskmoor.schema.mesh.RequestId id) {
        boolean own =
                id.getEntryNode().equals(self.value())
                        && id.getEntryIncarnation() == incarnation.value();
        return own ? Optional.ofNullable(exchanges.get(id.getSequence())) : Optional.empty();
    }
}
