package org.damaskmoor.core.configuration;

import java.util.Collection;
import java.util.HashMap;
import java.util.Map;
import org.damaskmoor.core.configuration.internal.ServiceIndex;
import org.damaskmoor.schema.configuration.VersionedConfiguration;

/**
 * Finds the service of a request: by host, and when no host selects one by the longest path prefix.
 *
 * <pre>{@code
 * MatchedService service = matcher.find("besuch.bern.example:8080", "/visits/7");
 * MatchedRule rule = service.findRule("GET", "/visits/7");
 * }</pre>
 *
 * <p>Invariant: matching allocates no objects. A prefix covers itself and everything that follows
 * it after a slash. Immutable and thread-safe: a configuration change creates a new matcher.
 */
public final class ServiceMatcher {
    private final ServiceIndex tables;

    private ServiceMatcher(ServiceIndex tables) {
        this.tables = tables;
    }

    /**
     * Returns a matcher of all services that are not deleted; on a conflict the first by name wins.
     */
    public static ServiceMatcher of(Collection<VersionedConfiguration> configurations) {
        Map<String, VersionedConfiguration> services = new HashMap<>();
        for (VersionedConfiguration configuration : configurations) {
            if (!configuration.getDeleted()) {
                services.put(configuration.getService().getName(), configuration);
            }
        }
        return new ServiceMatcher(new ServiceIndex(services));
    }

    /**
     * Returns the service of a request; null if none matches.
     *
     * @param host value of the Host field, with or without port; may be null
     * @param path with or without a query
     */
    public MatchedService find(String host, String path) {
        MatchedService byHost = host == null ? null : tables.findByHost(host);
        return byHost != null ? byHost : tables.findByPath(path);
    }

    /** Returns the service of this name; null if there is none. */
    public MatchedService findByName(String service) {
        return tables.findByName(service);
    }
}
