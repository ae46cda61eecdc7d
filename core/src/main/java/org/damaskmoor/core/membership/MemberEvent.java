package org.damaskmoor.core.membership;

import org.damaskmoor.schema.gossip.MemberRecord;

/**
 * One change of the group as this node sees it.
 *
 * <p>Invariant: {@code member} stands for the events of members and is the default instance for
 * those of regions. Immutable and thread-safe.
 *
 * @param kind what happened
 * @param member the member's newest record
 * @param region the region of the member, or the region that the event is about
 */
public record MemberEvent(Kind kind, MemberRecord member, String region) {
    /** What happened. */
    public enum Kind {
        /** A node, or a new start of a known node, is present. */
        JOINED,
        /** The member's own record changed, or a suspicion was refuted. */
        CHANGED,
        /** The member did not answer and has time to refute. */
        SUSPECT,
        /** The member did not refute in time. It may still return. */
        DEAD,
        /** The member said that it leaves. */
        LEFT,
        /** Most members of a region stopped answering at once; its members are not dead. */
        REGION_UNREACHABLE,
        /** The region answers again. */
        REGION_REACHABLE,
        /** A later start of this very node is known: this process must stop. */
        SUPERSEDED
    }

    /** An event of one member. */
    public static MemberEvent of(Kind kind, MemberRecord member) {
        return new MemberEvent(kind, member, member.getRegion());
    }

    /** An event of a whole region. */
    public static MemberEvent ofRegion(Kind kind, String region) {
        return new MemberEvent(kind, MemberRecord.getDefaultInstance(), region);
    }
}
