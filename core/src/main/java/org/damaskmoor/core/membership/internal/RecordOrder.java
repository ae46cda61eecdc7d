package org.damaskmoor.core.membership.internal;

import org.damaskmoor.schema.gossip.MemberRecord;

/**
 * Which of two records of the same node is the newer one: the greater incarnation, then the greater
 * revision, then the graver state. Without state, so thread-safe.
 */
public final class RecordOrder {
    private static final int BUCKETS = 128;

    private RecordOrder() {}

    /** Negative when {@code left} is older than {@code right}, 0 when they say the same. */
    public static int compare(MemberRecord left, MemberRecord right) {
        int order = Long.compare(left.getIncarnation(), right.getIncarnation());
        if (order == 0) {
            order = Integer.compareUnsigned(left.getRevision(), right.getRevision());
        }
        return order != 0 ? order : Integer.compare(left.getStateValue(), right.getStateValue());
    }

    /** Number of the buckets that digests are made of. */
    static int buckets() {
        return BUCKETS;
    }

    static int bucketOf(String nodeId) {
        return (int) (mix(nodeId.hashCode()) >>> 57);
    }

    /** What a present member adds to the digest of its bucket. */
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
