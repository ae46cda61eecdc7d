package org.damaskmoor.core.upstream;

import java.util.Objects;
import org.damaskmoor.core.hash.StableHash;
import org.damaskmoor.core.id.ServiceName;

/**
 * An upstream's periodic announcement of itself, sent about once per second. Immutable and
 * thread-safe.
 *
 * @param id id of the upstream
 * @param service the service that the upstream runs
 * @param startEpochMilliseconds start time of this incarnation, by the upstream's clock, which may
 *     have been set back since the incarnation before
 * @param sequence increases with each announcement of an incarnation
 * @param slots number of calls that the upstream can run concurrently
 * @param draining whether the upstream is draining before it stops
 * @param coldMilliseconds remaining time for which the upstream is cold; {@link #COLD_NOT_TOLD} or
 *     {@link #COLD_UNREADABLE} if it is unknown
 */
public record UpstreamAnnouncement(
        UpstreamId id,
        ServiceName service,
        long startEpochMilliseconds,
        long sequence,
        int slots,
        boolean draining,
        long coldMilliseconds) {
    /** The upstream does not tell for how long it remains cold. */
    public static final long COLD_NOT_TOLD = -1;

    /** The upstream tells for how long it remains cold, but the value can't be read. */
    public static final long COLD_UNREADABLE = -2;

    public UpstreamAnnouncement {
        Objects.requireNonNull(id, "id");
        Objects.requireNonNull(service, "service");
        if (slots <= 0) {
            throw new IllegalArgumentException(
                    "An upstream must have at least one slot, but "
                            + id
                            + " announced "
                            + slots
                            + ".");
        }
    }

    /** Whether both announcements are of the same incarnation of the same upstream. */
    public boolean isSameIncarnation(UpstreamAnnouncement other) {
        return id.equals(other.id) && startEpochMilliseconds == other.startEpochMilliseconds;
    }

    /** Digest of the incarnation; equal on all nodes, different for each incarnation. */
    public long incarnationDigest() {
        return StableHash.combine(StableHash.of(id.value()), startEpochMilliseconds);
    }
}
