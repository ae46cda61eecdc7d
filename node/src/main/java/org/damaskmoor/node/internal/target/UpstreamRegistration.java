package org.damaskmoor.node.internal.target;

import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.damaskmoor.schema.mesh.UpstreamState;

/**
 * The latest announcement of the upstream beside this node, valid until its lease expires.
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

    /** Stores an announcement and renews its lease. */
    void announce(Announcement received, long nowNanoseconds) {
        announcement = received;
        renewedNanoseconds = nowNanoseconds;
    }

    /** Removes the announcement if its lease has expired; returns whether it did. */
    boolean expire(long nowNanoseconds) {
        boolean expired =
                announcement != null && nowNanoseconds - renewedNanoseconds > leaseNanoseconds;
        if (expired) {
            announcement = null;
        }
        return expired;
    }

    /** The valid announcement, if any. */
    Optional<Announcement> current() {
        return Optional.ofNullable(announcement);
    }

    /** The address on which the upstream listens, if there is a valid announcement. */
    Optional<UpstreamAddress> address() {
        return current().map(Announcement::address);
    }

    /** Whether the upstream runs the service. */
    boolean serves(String service) {
        return announcement != null && announcement.service().value().equals(service);
    }

    /** The state that is published to other nodes. */
    UpstreamState state() {
        return announcement == null ? UpstreamState.ABSENT : announcement.state();
    }
}
