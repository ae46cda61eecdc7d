package org.damaskmoor.relay.internal.entry;

import java.util.List;
import java.util.Locale;
import java.util.Optional;
import java.util.Set;
import java.util.function.Consumer;
import java.util.function.LongPredicate;
import org.damaskmoor.core.routetable.Route;
import org.damaskmoor.core.routetable.RouteTable;
import org.damaskmoor.core.tenancy.Authentication;
import org.damaskmoor.core.tenancy.Authenticator;
import org.damaskmoor.core.tenancy.TenantTable;
import org.damaskmoor.platform.protocol.HeaderNames;
import org.damaskmoor.relay.internal.caller.CallerReply;
import org.damaskmoor.relay.internal.caller.CallerRequest;
import org.damaskmoor.schema.mesh.HeaderField;

/**
 * Finds the tenant of a request, removes its API key, and refuses it if it has no valid one.
 *
 * <p>A configuration without a list of tenants asks for no keys. If keys may have been given out
 * before, they are removed ones then: a request that carries one is refused all the same, and any
 * other is served.
 *
 * <p>Confined to the event loop. Invariants: if requests need keys, no header of an admitted
 * request contains credentials or names a tenant; no key is logged or counted.
 */
final class RequestAuthenticator {
    private static final Set<String> REMOVED =
            Set.of(
                    HeaderNames.AUTHORIZATION.toLowerCase(Locale.ROOT),
                    HeaderNames.TENANT.toLowerCase(Locale.ROOT));

    /** Bounds of the Retry-After without proof, which usually returns within a second. */
    private static final long MIN_RETRY_AFTER_MILLISECONDS = 500;

    private static final long MAX_RETRY_AFTER_MILLISECONDS = 1000;

    private final EntryContext context;
    private final LongPredicate freshness;

    /** True from the first configuration on that requires keys. */
    private boolean keysGivenOut;

    /**
     * Creates an instance.
     *
     * @param freshness whether a version of the configuration is proven to be fresh
     * @param keysGivenOut whether keys may have been given out before this node started
     */
    RequestAuthenticator(EntryContext context, LongPredicate freshness, boolean keysGivenOut) {
        this.context = context;
        this.freshness = freshness;
        this.keysGivenOut = keysGivenOut;
    }

    /** The configuration in force has changed. */
    void onConfiguration(RouteTable routes) {
        keysGivenOut |= routes.tenants().requiresKeys();
    }

    /** Returns the request to serve, or replies that it is refused and returns empty. */
    Optional<AuthenticatedRequest> authenticate(
            CallerRequest request, Route route, RouteTable routes, Consumer<CallerReply> reply) {
        if (!keysGivenOut) {
            return Optional.of(new AuthenticatedRequest(request, Optional.empty()));
        }
        Authentication result = check(credentials(request), route, routes);
        if (result.detail() == Authentication.Detail.NOT_CHECKED) {
            return Optional.of(new AuthenticatedRequest(request, Optional.empty()));
        }
        String detail = result.detail().logName();
        if (result.outcome() == Authentication.Outcome.ADMITTED) {
            return Optional.of(new AuthenticatedRequest(clean(request), result.tenant()));
        }
        if (result.outcome() == Authentication.Outcome.UNAUTHENTICATED) {
            context.metrics().count("unauthenticated", detail);
            log("request-unauthenticated", request, route, routes, detail);
            reply.accept(CallerReply.unauthenticated());
        } else {
            context.metrics().count("refused", detail);
            log("request-refused", request, route, routes, detail);
            reply.accept(CallerReply.notRun(detail, retryAfterMilliseconds()));
        }
        return Optional.empty();
    }

    private Authentication check(List<String> credentials, Route route, RouteTable routes) {
        TenantTable tenants = routes.tenants();
        if (!tenants.requiresKeys() && Authenticator.containKey(credentials)) {
            // No proof is needed that a table without keys lacks a removed one.
            return Authenticator.authenticate(
                    TenantTable.NOBODY, route.isPublic(), credentials, true);
        }
        boolean proven = freshness.test(routes.version());
        return Authenticator.authenticate(tenants, route.isPublic(), credentials, proven);
    }

    private void log(
            String event, CallerRequest request, Route route, RouteTable routes, String reason) {
        context.log()
                .event(event)
                .with("request", request.id())
                .with("route", route.name())
                .with("reason", reason)
                .with("version", routes.version())
                .write();
    }

    private long retryAfterMilliseconds() {
        return context.random()
                .nextLong(MIN_RETRY_AFTER_MILLISECONDS, MAX_RETRY_AFTER_MILLISECONDS);
    }

    private static List<String> credentials(CallerRequest request) {
        return request.headers().stream()
                .filter(field -> field.getName().equalsIgnoreCase(HeaderNames.AUTHORIZATION))
                .map(HeaderField::getValue)
                .toList();
    }

    private static CallerRequest clean(CallerRequest request) {
        List<HeaderField> headers =
                request.headers().stream()
                        .filter(
                                field ->
                                        !REMOVED.contains(field.getName().toLowerCase(Locale.ROOT)))
                        .toList();
        return request.withHeaders(headers);
    }
}
