package org.damaskmoor.core.membership.internal;

import org.damaskmoor.schema.gossip.MemberRecord;

/**
 * Orders records of the same node by age: the one with the greater incarnation is newer, then the
 * greater revision, then the more severe state. Also computes the buckets and digests of records.
 * Stateless and thread-safe.
 */
public final class RecordOrder {
    private static final int BUCKETS = 128;

    private RecordOrder() {}

    /**
     * Returns a negative number when {@code left} is older than {@code right}, and 0 when they are
     * equally new.
     */
    public static int compare(MemberRecord left, MemberRecord right) {
        int order = Long.compare(left.getIncarnation(), right.getIncarnation());
        if (order == 0) {
            order = Integer.compareUnsigned(left.getRevision(), right.getRevision());
        }
        return order != 0 ? order : Integer.compare(left.getStateValue(), right.getStateValue());
    }

    /** Number of digest buckets. */
    static int buckets() {
        return BUCKETS;
    }

    static int bucketOf(String nodeId) {
        return (int) (mix(nodeId.hashCode()) >>> 57);
    }

    /** The contribution of a present member to the digest of its bucket. */
    static long digestOf(MemberRecord record) {
        long seed = mix(record.getNodeId().hashCode() ^ record.getIncarnation() * 31);
        return mix(seed + record.getRevision());
    }

    static long mix(long value) {
        long mixed = (value + 0x9E3779B97F4A7C15L) * 0xBF58476D1CE4E5B9L;
        mixed = (mixed ^ (mixed >>> 30)) * 0x94D049BB133111EBL;
        return mixed ^ (mixed >>> 31);
    }
}
