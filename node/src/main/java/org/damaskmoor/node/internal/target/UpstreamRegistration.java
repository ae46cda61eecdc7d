package org.damaskmoor.node.internal.target;

import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.damaskmoor.schema.mesh.UpstreamState;

/**
 * What the upstream beside this node announced of itself, for as long as its lease runs.
 *
 * <p>Confined to the upstream event loop.
 */
final class UpstreamRegistration {
    private final long leaseNanoseconds;
    private Announcement announcement;
    private long renewedNanoseconds;

    UpstreamRegistration(long leaseMilliseconds) {
        this.leaseNanoseconds = TimeUnit.MILLISECONDS.toNanos(leaseMilliseconds);
    }

    /** The upstream announced itself. */
    void announce(Announcement received, long nowNanoseconds) {
        announcement = received;
        renewedNanoseconds = nowNanoseconds;
    }

    /** Forgets an announcement whose lease has run out. Returns whether it just did. */
    boolean expire(long nowNanoseconds) {
        boolean expired =
                announcement != null && nowNanoseconds - renewedNanoseconds > leaseNanoseconds;
        if (expired) {
            announcement = null;
        }
        return expired;
    }

    /** The announcement in force. */
    Optional<Announcement> current() {
        return Optional.ofNullable(announcement);
    }

    /** Where the upstream listens. */
    Optional<UpstreamAddress> address() {
        return current().map(Announcement::address);
    }

    /** Whether the upstream runs the service. */
    boolean serves(String service) {
        return announcement != null && announcement.service().value().equals(service);
    }

    /** The state that other nodes are told. */
    UpstreamState state() {
        return announcement == null ? UpstreamState.ABSENT : announcement.state();
    }
}
