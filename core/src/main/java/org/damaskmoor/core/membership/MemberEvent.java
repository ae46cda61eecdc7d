package org.damaskmoor.core.membership;

import org.damaskmoor.schema.gossip.MemberRecord;

/**
 * A change in the membership as seen by this node.
 *
 * <p>Invariant: {@code member} is the default instance in events about a whole region. Immutable
 * and thread-safe.
 *
 * @param kind kind of the change
 * @param member the newest record of the member
 * @param region the region of the member, or the region that the event is about
 */
public record MemberEvent(Kind kind, MemberRecord member, String region) {
    /** Kind of a change. */
    public enum Kind {
        /** A node, or a new incarnation of a known node, is present. */
        JOINED,
        /** The member's own record changed, or a suspicion was refuted. */
        CHANGED,
        /** The member did not answer, and may still refute the suspicion. */
        SUSPECT,
        /** The member did not refute the suspicion in time. It may still return. */
        DEAD,
        /** The member announced that it leaves. */
        LEFT,
        /**
         * Most members of a region stopped answering at once. Its members are not declared dead.
         */
        REGION_UNREACHABLE,
        /** The region answers again. */
        REGION_REACHABLE,
        /** A later incarnation of this node exists, so this process must stop. */
        SUPERSEDED
    }

    /** Creates an event about one member. */
    public static MemberEvent of(Kind kind, MemberRecord member) {
        return new MemberEvent(kind, member, member.getRegion());
    }

    /** Creates an event about a whole region. */
    public static MemberEvent ofRegion(Kind kind, String region) {
        return new MemberEvent(kind, MemberRecord.getDefaultInstance(), region);
    }
}
