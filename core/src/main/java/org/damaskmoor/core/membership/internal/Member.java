package org.damaskmoor.core.membership.internal;

import java.net.InetSocketAddress;
import org.damaskmoor.schema.gossip.MemberRecord;
import org.damaskmoor.schema.gossip.MemberState;

/**
 * A member as known to this node.
 *
 * <p>Invariant: the record is only replaced by a newer one in the order of {@link RecordOrder}. Not
 * thread-safe; used on the protocol thread.
 */
final class Member {
    MemberRecord record;
    long changedMilliseconds;

    /** Index in the list of present members of its region; -1 when not present. */
    int position = -1;

    Member(MemberRecord record, long nowMilliseconds) {
        this.record = record;
        this.changedMilliseconds = nowMilliseconds;
    }

    String id() {
        return record.getNodeId();
    }

    boolean isPresent() {
        return isPresent(record);
    }

    static boolean isPresent(MemberRecord record) {
        return record.getState() == MemberState.ALIVE || record.getState() == MemberState.SUSPECT;
    }

    /** Built on each call, because it is rarely needed and there are thousands of members. */
    InetSocketAddress address() {
        return new InetSocketAddress(record.getAddress(), record.getGossipPort());
    }
}
