package org.damaskmoor.core.configuration;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.function.Consumer;
import org.damaskmoor.core.id.ServiceName;
import org.damaskmoor.schema.configuration.VersionedConfiguration;
import org.damaskmoor.schema.gossip.ConfigurationVersion;

/**
 * Stores the newest known configuration of each service at a node.
 *
 * <p>Invariants: the version of a service only increases, also across its deletion; two nodes that
 * hold the same versions have the same digest. Not thread-safe: one thread drives it; the listener
 * publishes configurations to other threads.
 */
public final class ConfigurationStore {
    private final Map<String, VersionedConfiguration> configurations = new TreeMap<>();
    private final Map<String, Long> newestAnnounced = new HashMap<>();
    private final Consumer<VersionedConfiguration> listener;
    private long digest;

    /**
     * Creates an empty store.
     *
     * @param listener receives each accepted version
     */
    public ConfigurationStore(Consumer<VersionedConfiguration> listener) {
        this.listener = listener;
    }

    /** Stores a version if it is newer than the stored one; returns whether it was stored. */
    public boolean accept(VersionedConfiguration configuration) {
        String service = configuration.getService().getName();
        long previous = versionOf(service);
        long version = configuration.getVersion();
        if (service.isEmpty() || version <= previous) {
            return false;
        }
        configurations.put(service, configuration);
        digest ^= digestOf(service, previous) ^ digestOf(service, version);
        newestAnnounced.merge(service, version, Math::max);
        listener.accept(configuration);
        return true;
    }

    /** Records that a version exists; returns whether it is newer than all known ones. */
    public boolean recordAnnounced(ConfigurationVersion version) {
        long previous = newestAnnounced.getOrDefault(version.getService(), 0L);
        newestAnnounced.merge(version.getService(), version.getVersion(), Math::max);
        return version.getVersion() > previous;
    }

    /** Returns whether the stored version is older than this one or absent. */
    public boolean lacks(ConfigurationVersion version) {
        return versionOf(version.getService()) < version.getVersion();
    }

    /** Returns the stored version of a service; 0 if there is none. */
    public long versionOf(String service) {
        VersionedConfiguration configuration = configurations.get(service);
        return configuration == null ? 0 : configuration.getVersion();
    }

    /** Returns the digest over all stored versions; 0 if there are none. */
    public long digest() {
        return digest;
    }

    /** Returns the stored configuration of a service, including a deleted one. */
    public Optional<VersionedConfiguration> find(ServiceName service) {
        return Optional.ofNullable(configurations.get(service.value()));
    }

    /** Returns all stored configurations, deleted services included, in order of name. */
    public List<VersionedConfiguration> all() {
        return List.copyOf(configurations.values());
    }

    /** Returns the stored versions, in order of name. */
    public List<ConfigurationVersion> versions() {
        List<ConfigurationVersion> versions = new ArrayList<>(configurations.size());
        configurations.forEach((service, configuration) -> versions.add(versionOf(configuration)));
        return versions;
    }

    /** Returns service and version of a configuration in the form that is gossiped. */
    public static ConfigurationVersion versionOf(VersionedConfiguration configuration) {
        return ConfigurationVersion.newBuilder()
                .setService(configuration.getService().getName())
                .setVersion(configuration.getVersion())
                .build();
    }

    private static long digestOf(String service, long version) {
        if (version == 0) {
            return 0;
        }
        long mixed = (service.hashCode() * 0x9E3779B97F4A7C15L + version) * 0xBF58476D1CE4E5B9L;
        mixed = (mixed ^ (mixed >>> 30)) * 0x94D049BB133111EBL;
        return mixed ^ (mixed >>> 31);
    }
}
