package org.damaskmoor.core.configuration.internal;

import java.util.HashMap;
import java.util.Map;
import java.util.TreeMap;
import org.damaskmoor.core.configuration.MatchedService;
import org.damaskmoor.schema.configuration.VersionedConfiguration;

/** Index of services by host, by path prefix and by name. Immutable and thread-safe. */
public final class ServiceIndex {
    private final SubstringMap<MatchedService> byHost;
    private final SubstringMap<MatchedService> byPrefix;
    private final Map<String, MatchedService> byName;

    /** Builds the index; the keys of {@code services} are their names. */
    public ServiceIndex(Map<String, VersionedConfiguration> services) {
        Map<String, MatchedService> names = new HashMap<>();
        Map<String, MatchedService> hosts = new HashMap<>();
        Map<String, MatchedService> prefixes = new HashMap<>();
        for (VersionedConfiguration versioned : new TreeMap<>(services).values()) {
            CompiledService service = new CompiledService(versioned);
            names.put(service.name(), service);
            for (String host : versioned.getService().getHostsList()) {
                hosts.putIfAbsent(HostNames.normalise(host), service);
            }
            for (String prefix : versioned.getService().getPathPrefixesList()) {
                prefixes.putIfAbsent(prefix, service);
            }
        }
        this.byName = Map.copyOf(names);
        this.byHost = new SubstringMap<>(hosts, true);
        this.byPrefix = new SubstringMap<>(prefixes, false);
    }

    /** Returns the service that a Host field selects; null if none. */
    public MatchedService findByHost(String host) {
        return byHost.find(host, HostNames.endOf(host));
    }

    /** Returns the service with the longest prefix that covers the path; null if none does. */
    public MatchedService findByPath(String path) {
        int end = PathPrefixes.endOf(path);
        MatchedService longest = null;
        int hash = 0;
        for (int length = 1; length <= end; length++) {
            hash = byPrefix.extendHash(hash, path.charAt(length - 1));
            if (PathPrefixes.isBoundary(path, length, end)) {
                MatchedService found = byPrefix.find(path, length, hash);
                longest = found != null ? found : longest;
            }
        }
        return longest;
    }

    /** Returns the service of this name; null if there is none. */
    public MatchedService findByName(String service) {
        return byName.get(service);
    }
}
