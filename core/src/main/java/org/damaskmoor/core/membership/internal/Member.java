package org.damaskmoor.core.membership.internal;

import java.net.InetSocketAddress;
import org.damaskmoor.schema.gossip.MemberRecord;
import org.damaskmoor.schema.gossip.MemberState;

/**
 * One member as this node knows it.
 *
 * <p>Invariant: the record only grows in the order of {@link RecordOrder}. Confined to the thread
 * that drives the protocol.
 */
final class Member {
    MemberRecord record;
    long changedMilliseconds;

    /** Position in the list of present members of its region; -1 when absent. */
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

    /** Built for each use: it is needed rarely, and there are thousands of members. */
    InetSocketAddress address() {
        return new InetSocketAddress(record.getAddress(), record.getGossipPort());
    }
}
