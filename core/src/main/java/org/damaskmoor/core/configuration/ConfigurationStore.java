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
 * The configuration that a node holds, one version for each service.
 *
 * <p>Invariants: the version of a service only grows, also over its deletion; the digest is the
 * same on two nodes that hold the same versions. Not thread-safe: one thread drives it; the
 * listener publishes what other threads read.
 */
public final class ConfigurationStore {
    private final Map<String, VersionedConfiguration> held = new TreeMap<>();
    private final Map<String, Long> newestHeard = new HashMap<>();
    private final Consumer<VersionedConfiguration> listener;
    private long digest;

    /**
     * An empty store.
     *
     * @param listener hears each version that was taken in
     */
    public ConfigurationStore(Consumer<VersionedConfiguration> listener) {
        this.listener = listener;
    }

    /** Takes in a version unless it is not newer than the one held; returns whether it did. */
    public boolean accept(VersionedConfiguration configuration) {
        String service = configuration.getService().getName();
        long former = versionOf(service);
        long version = configuration.getVersion();
        if (service.isEmpty() || version <= former) {
            return false;
        }
        held.put(service, configuration);
        digest ^= digestOf(service, former) ^ digestOf(service, version);
        newestHeard.merge(service, version, Math::max);
        listener.accept(configuration);
        return true;
    }

    /** Notes that a version exists somewhere; returns whether this was news. */
    public boolean recordAnnounced(ConfigurationVersion version) {
        long former = newestHeard.getOrDefault(version.getService(), 0L);
        newestHeard.merge(version.getService(), version.getVersion(), Math::max);
        return version.getVersion() > former;
    }

    /** Whether an older version than this one is held, or none. */
    public boolean lacks(ConfigurationVersion version) {
        return versionOf(version.getService()) < version.getVersion();
    }

    /** Version held of a service; 0 when none. */
    public long versionOf(String service) {
        VersionedConfiguration configuration = held.get(service);
        return configuration == null ? 0 : configuration.getVersion();
    }

    /** Digest over all versions held; 0 when none is. */
    public long digest() {
        return digest;
    }

    /** What is held of a service, also when it was deleted. */
    public Optional<VersionedConfiguration> find(ServiceName service) {
        return Optional.ofNullable(held.get(service.value()));
    }

    /** All that is held, deleted services included, in order of name. */
    public List<VersionedConfiguration> all() {
        return List.copyOf(held.values());
    }

    /** The versions held, in order of name. */
    public List<ConfigurationVersion> versions() {
        List<ConfigurationVersion> versions = new ArrayList<>(held.size());
        held.forEach((service, configuration) -> versions.add(versionOf(configuration)));
        return versions;
    }

    /** Service and version of a configuration, as they are gossiped. */
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
