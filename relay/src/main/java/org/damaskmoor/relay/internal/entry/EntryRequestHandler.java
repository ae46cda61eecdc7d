package org.damaskmoor.relay.internal.entry;

import static java.util.stream.Collectors.toSet;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Consumer;
import java.util.function.LongPredicate;
import org.damaskmoor.core.id.Incarnation;
import org.damaskmoor.core.id.NodeId;
import org.damaskmoor.core.id.RequestId;
import org.damaskmoor.core.id.ServiceName;
import org.damaskmoor.core.quarantine.RequestFingerprint;
import org.damaskmoor.core.routetable.Route;
import org.damaskmoor.core.routetable.RouteTable;
import org.damaskmoor.core.routetable.SmoothWeightedRoundRobin;
import org.damaskmoor.core.tenancy.Tenant;
import org.damaskmoor.relay.internal.caller.CallerHandler;
import org.damaskmoor.relay.internal.caller.CallerReply;
import org.damaskmoor.relay.internal.caller.CallerRequest;
import org.damaskmoor.relay.internal.link.CallLink;
import org.damaskmoor.relay.internal.link.CallOutcomeListener;
import org.damaskmoor.schema.link.CallSealed;
import org.damaskmoor.schema.link.ForwardedAnswer;
import org.damaskmoor.schema.link.ForwardedCall;
import org.damaskmoor.schema.link.ForwardedFailure;
import org.damaskmoor.schema.link.ForwardedRefusal;
import org.damaskmoor.schema.link.TargetLoad;

/**
 * Handles callers' requests at the entry: matches the route, picks a service by weight, starts an
 * exchange, and passes messages from targets to the exchange that they concern.
 *
 * <p>Confined to the event loop. Invariants: each request of a caller gets one reply; the outcome
 * of an attempt is taken only from the target that the attempt was sent to.
 */
public final class EntryRequestHandler implements CallerHandler {
    private static final int NOT_FOUND = 404;
    private static final int FIRST_SERVER_ERROR = 500;

    /** Retry-After of a node that has no configuration yet. */
    private static final long UNCONFIGURED_RETRY_AFTER_MILLISECONDS = 500;

    /** Retry-After of a stopping node, which also closes the caller's connection. */
    private static final long STOPPING_RETRY_AFTER_MILLISECONDS = 100;

    /** Retry-After of a request that is quarantined because it crashed upstreams. */
    private static final long QUARANTINED_RETRY_AFTER_MILLISECONDS = 30_000;

    private final NodeId self;
    private final Incarnation incarnation;
    private final EntryContext context;
    private final QuarantinedRequests quarantined;
    private final RequestAuthenticator authenticator;
    private final RequestQuotas quotas;
    private final Map<Long, EntryExchange> exchanges = new HashMap<>();
    private final Map<String, SmoothWeightedRoundRobin> roundRobins = new HashMap<>();
    private RouteTable routes;
    private boolean rejecting;
    private long lastSequence;
    private long lastFailureAt = Long.MIN_VALUE;

    /**
     * Creates a handler without a configuration.
     *
     * @param freshness whether a version of the configuration is proven to be fresh
     * @param keysGivenOut whether keys may have been given out before this node started
     */
    public EntryRequestHandler(
            NodeId self,
            Incarnation incarnation,
            EntryContext context,
            QuarantinedRequests quarantined,
            LongPredicate freshness,
            boolean keysGivenOut,
            RequestQuotas quotas) {
        this.self = self;
        this.incarnation = incarnation;
        this.context = context;
        this.quarantined = quarantined;
        this.authenticator = new RequestAuthenticator(context, freshness, keysGivenOut);
        this.quotas = quotas;
    }

    /** Routes new requests by the given configuration. */
    public void applyRoutes(RouteTable newRoutes) {
        routes = newRoutes;
        authenticator.onConfiguration(newRoutes);
        roundRobins
                .keySet()
                .retainAll(newRoutes.routes().stream().map(Route::name).collect(toSet()));
    }

    /** Refuses new requests from now on, because this node is about to stop. */
    public void rejectNewRequests() {
        rejecting = true;
    }

    /** Ends all open requests with the outcome known so far, because this node stops now. */
    public void finishAll() {
        List.copyOf(exchanges.values()).forEach(EntryExchange::finishNow);
    }

    /**
     * Time at which a request last failed here or its caller disconnected, in milliseconds of the
     * monotonic clock.
     */
    public long lastFailureAt() {
        return lastFailureAt;
    }

    /** Whether calls of the service were lately sent to other data centres for lack of room. */
    public boolean isExporting(ServiceName service) {
        return context.egress().isExporting(service);
    }

    /** Number of requests that have not ended. */
    public int openRequests() {
        return exchanges.size();
    }

    @Override
    public boolean isIdempotent(String host, String path) {
        return routes == null || routes.match(host, path).map(Route::idempotent).orElse(true);
    }

    @Override
    public Runnable handle(CallerRequest request, Consumer<CallerReply> reply) {
        context.metrics().count("requests");
        if (routes == null) {
            refuse(request, "unconfigured", UNCONFIGURED_RETRY_AFTER_MILLISECONDS, reply);
            return () -> {};
        }
        if (rejecting) {
            refuse(request, "node-stopping", STOPPING_RETRY_AFTER_MILLISECONDS, reply);
            return () -> {};
        }
        Optional<Route> route = routes.match(request.host(), request.path());
        if (route.isEmpty()) {
            context.log()
                    .event("request-unrouted")
                    .with("request", request.id())
                    .with("host", request.host())
                    .with("path", request.path())
                    .with("version", routes.version())
                    .write();
            reply.accept(CallerReply.ofText(NOT_FOUND, "No route leads to this host and path."));
            return () -> {};
        }
        Optional<AuthenticatedRequest> authenticated =
                authenticator.authenticate(request, route.get(), routes, reply);
        if (authenticated.isEmpty()) {
            return () -> {};
        }
        if (isQuarantined(request)) {
            refuse(request, "quarantined", QUARANTINED_RETRY_AFTER_MILLISECONDS, reply);
            return () -> {};
        }
        return start(
                authenticated.get().request(), route.get(), authenticated.get().tenant(), reply);
    }

    /** Starts a request whose caller belongs to a tenant, unless the tenant's quota is used up. */
    Runnable start(
            CallerRequest request,
            Route route,
            Optional<Tenant> tenant,
            Consumer<CallerReply> reply) {
        Optional<Tenant> charged = tenant.filter(holder -> holder.quota().isLimited());
        Optional<CallerReply> refusal = charged.flatMap(holder -> quotas.charge(request, holder));
        if (refusal.isPresent()) {
            reply.accept(refusal.get());
            return () -> {};
        }
        Runnable refund = () -> charged.ifPresent(quotas::refund);
        lastSequence++;
        RequestId id = new RequestId(self, incarnation, lastSequence);
        EntryExchange exchange =
                new EntryExchange(
                        new AdmittedRequest(
                                id, request, route, selectService(route), tenant, refund),
                        context,
                        answer -> {
                            if (answer.status() >= FIRST_SERVER_ERROR) {
                                lastFailureAt = context.timers().now();
                            }
                            reply.accept(answer);
                        },
                        ended -> exchanges.remove(ended.id().sequence()));
        exchanges.put(lastSequence, exchange);
        exchange.start();
        return () -> {
            lastFailureAt = context.timers().now();
            exchange.onCallerDisconnected();
        };
    }

    private ServiceName selectService(Route route) {
        if (route.parts().size() == 1) {
            return route.parts().get(0).service();
        }
        SmoothWeightedRoundRobin current = roundRobins.get(route.name());
        if (current == null || !current.parts().equals(route.parts())) {
            current = new SmoothWeightedRoundRobin(route.parts(), context.random().nextInt());
            roundRobins.put(route.name(), current);
        }
        return current.next();
    }

    private boolean isQuarantined(CallerRequest request) {
        return quarantined.hasAny()
                && quarantined.contains(
                        RequestFingerprint.of(
                                request.method(),
                                request.target(),
                                request.body().toByteArray(),
                                ""));
    }

    private void refuse(
            CallerRequest request, String reason, long retryAfter, Consumer<CallerReply> reply) {
        context.metrics().count("refused", reason);
        context.log()
                .event("request-refused")
                .with("request", request.id())
                .with("reason", reason)
                .write();
        reply.accept(CallerReply.notRun(reason, retryAfter));
    }

    /** Returns the listener for messages from a target. */
    public CallOutcomeListener outcomeListener(NodeId target) {
        return new TargetOutcomeListener(target);
    }

    /** Calls that were not sent, because no link to the target could be opened. */
    public void onUnsent(List<ForwardedCall> calls) {
        for (ForwardedCall call : calls) {
            find(call.getSequence()).ifPresent(exchange -> exchange.onUnsent(call.getAttempt()));
        }
    }

    /** A link to a target was lost, with calls sent over it. */
    public void onLinkLost(CallLink link) {
        for (EntryExchange exchange : List.copyOf(exchanges.values())) {
            exchange.onLinkLost(link);
        }
    }

    private Optional<EntryExchange> find(long sequence) {
        return Optional.ofNullable(exchanges.get(sequence));
    }

    private final class TargetOutcomeListener implements CallOutcomeListener {
        private final NodeId target;

        TargetOutcomeListener(NodeId target) {
            this.target = target;
        }

        @Override
        public void onAnswered(ForwardedAnswer answer) {
            find(answer.getSequence(), answer.getAttempt())
                    .ifPresent(exchange -> exchange.onAnswered(answer));
        }

        @Override
        public void onRefused(ForwardedRefusal refusal) {
            find(refusal.getSequence(), refusal.getAttempt())
                    .ifPresent(exchange -> exchange.onRefused(refusal));
        }

        @Override
        public void onFailed(ForwardedFailure failure) {
            find(failure.getSequence(), failure.getAttempt())
                    .ifPresent(exchange -> exchange.onFailed(failure));
        }

        @Override
        public void onSealed(CallSealed sealed) {
            find(sealed.getSequence(), sealed.getAttempt())
                    .ifPresent(exchange -> exchange.onSealed(sealed));
        }

        /** The exchange whose attempt was sent to this target; no other outcome is its own. */
        private Optional<EntryExchange> find(long sequence, int attempt) {
            return EntryRequestHandler.this
                    .find(sequence)
                    .filter(exchange -> exchange.isSentTo(attempt, target));
        }

        @Override
        public void onLoad(TargetLoad load) {
            long now = context.timers().now();
            context.fleet().find(target).ifPresent(known -> known.updateLoad(load, now));
        }
    }
}
