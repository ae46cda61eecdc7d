package org.damaskmoor.core.upstream;

import java.util.Objects;
import org.damaskmoor.core.id.ServiceName;

/**
 * What an upstream says of itself every second or so. Immutable and thread-safe.
 *
 * @param id the upstream
 * @param service the service that it runs
 * @param bornEpochMilliseconds when this incarnation started, by the upstream's clock
 * @param sequence grows with each announcement of a incarnation
 * @param slots calls that it runs at once
 * @param draining whether it is about to leave
 * @param coldMilliseconds how much longer it is slow after its start
 */
public record UpstreamAnnouncement(
        UpstreamId id,
        ServiceName service,
        long bornEpochMilliseconds,
        long sequence,
        int slots,
        boolean draining,
        long coldMilliseconds) {
    public UpstreamAnnouncement {
        Objects.requireNonNull(id, "id");
        Objects.requireNonNull(service, "service");
        if (slots <= 0) {
            throw new IllegalArgumentException(
                    "An upstream must have a slot, but " + id + " announced " + slots + ".");
        }
    }

    /** Whether this was said after the other one: by a later incarnation, or later in the same. */
    public boolean isNewerThan(UpstreamAnnouncement other) {
        if (bornEpochMilliseconds != other.bornEpochMilliseconds) {
            return bornEpochMilliseconds > other.bornEpochMilliseconds;
        }
        return sequence > other.sequence;
    }

    /** Whether both were said in the same incarnation of the same upstream. */
    public boolean isSameIncarnation(UpstreamAnnouncement other) {
        return id.equals(other.id) && bornEpochMilliseconds == other.bornEpochMilliseconds;
    }
}
