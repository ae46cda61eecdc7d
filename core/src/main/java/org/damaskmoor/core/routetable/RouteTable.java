package org.damaskmoor.core.routetable;

import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import org.damaskmoor.core.id.ServiceName;
import org.damaskmoor.core.tenancy.TenantTable;

/**
 * Matches requests to routes, compiled from one version of the operator's configuration.
 *
 * <pre>{@code
 * Optional<Route> route = table.match("shop.example:80", "/prices/7");
 * }</pre>
 *
 * <p>The longest matching path prefix wins. Immutable and thread-safe.
 */
public final class RouteTable {
    private final long version;
    private final Map<String, HostRoutes> routesByHost = new HashMap<>();
    private final Map<ServiceName, ServiceDefinition> services = new HashMap<>();
    private final List<Route> routes;
    private final CallerLimits limits;
    private final TenantTable tenants;

    /**
     * Compiles a configuration.
     *
     * @throws IllegalArgumentException when a route names a service that is not configured, or two
     *     routes have the same host and prefix
     */
    public RouteTable(
            long version,
            Collection<Route> routes,
            Collection<ServiceDefinition> services,
            CallerLimits limits,
            TenantTable tenants) {
        this.version = version;
        this.limits = limits;
        this.tenants = tenants;
        this.routes = List.copyOf(routes);
        services.forEach(service -> this.services.put(service.name(), service));
        routes.forEach(this::add);
    }

    private void add(Route route) {
        for (WeightedService part : route.parts()) {
            if (!services.containsKey(part.service())) {
                throw new IllegalArgumentException(
                        "Route "
                                + route.name()
                                + " names the service "
                                + part.service()
                                + ", which is not configured.");
            }
        }
        Route same =
                routesByHost
                        .computeIfAbsent(route.host(), host -> new HostRoutes())
                        .putIfAbsent(route);
        if (same != null) {
            throw new IllegalArgumentException(
                    "Routes " + same.name() + " and " + route.name() + " have the same prefix.");
        }
    }

    /** Version of the configuration; a greater version is newer. */
    public long version() {
        return version;
    }

    /** Size and time limits on callers. */
    public CallerLimits limits() {
        return limits;
    }

    /** The tenants, and whether requests need a key. */
    public TenantTable tenants() {
        return tenants;
    }

    /** All routes. */
    public List<Route> routes() {
        return routes;
    }

    /** Returns a service, or empty when it is not configured. */
    public Optional<ServiceDefinition> service(ServiceName name) {
        return Optional.ofNullable(services.get(name));
    }

    /**
     * Returns the route of a request, or empty when none matches.
     *
     * @param host the host, with or without a port
     * @param path the path without the query
     */
    public Optional<Route> match(String host, String path) {
        HostRoutes routesOfHost = routesByHost.get(name(host));
        return routesOfHost == null ? Optional.empty() : routesOfHost.match(path);
    }

    private static String name(String host) {
        int colon = host.lastIndexOf(':');
        String bare = colon < 0 ? host : host.substring(0, colon);
        return bare.toLowerCase(Locale.ROOT);
    }

    /** The routes of one host. */
    private static final class HostRoutes {
        private final Map<String, Route> byPrefix = new HashMap<>();
        private int longestPrefix;

        /** Adds a route, unless one has its prefix already, which is returned then. */
        Route putIfAbsent(Route route) {
            longestPrefix = Math.max(longestPrefix, route.prefix().length());
            return byPrefix.putIfAbsent(route.prefix(), route);
        }

        /** Looks at no more of the path than the longest prefix, however many slashes it has. */
        Optional<Route> match(String path) {
            int slash = path.lastIndexOf('/', longestPrefix - 1);
            while (slash >= 0) {
                Route route = byPrefix.get(path.substring(0, slash + 1));
                if (route != null) {
                    return Optional.of(route);
                }
                slash = path.lastIndexOf('/', slash - 1);
            }
            return Optional.empty();
        }
    }
}
