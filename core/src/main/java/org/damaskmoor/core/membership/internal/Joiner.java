package org.damaskmoor.core.membership.internal;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import org.damaskmoor.schema.gossip.GossipMessage;
import org.damaskmoor.schema.gossip.Join;
import org.damaskmoor.schema.gossip.MemberPage;
import org.damaskmoor.schema.gossip.MemberRecord;

/**
 * Fetches the member list page by page from one peer, and from the next peer when one stops
 * answering. A node that is joined asks each peer once.
 *
 * <p>Invariant: pages are fetched in order of node id; the records of a duplicated or reordered
 * page are merged, but the page does not move the position. Not thread-safe; used on the protocol
 * thread.
 */
final class Joiner {
    private static final long PAGE_TIMEOUT_MILLISECONDS = 1_000;
    private static final int MAX_RECORDS_PER_PAGE = 40;

    private final MembershipView view;
    private final AntiEntropy antiEntropy;
    private final List<InetSocketAddress> peers = new ArrayList<>();
    private int peerIndex;
    private String position = "";
    private boolean joining;
    private boolean joined;
    private long deadlineMilliseconds;

    Joiner(MembershipView view, AntiEntropy antiEntropy) {
        this.view = view;
        this.antiEntropy = antiEntropy;
    }

    boolean isJoined() {
        return joined;
    }

    /**
     * Restarts the join with the given peers; without peers this node is the first of its group.
     */
    void join(List<InetSocketAddress> addresses, long nowMilliseconds) {
        peers.clear();
        peers.addAll(addresses);
        peerIndex = 0;
        position = "";
        joining = !peers.isEmpty();
        joined = joined || peers.isEmpty();
        if (joining) {
            requestPage(nowMilliseconds);
        }
    }

    /**
     * Joins through an unknown node that sent a ping to this one, when no join point could be read.
     */
    void joinThrough(InetSocketAddress address, long nowMilliseconds) {
        if (!joined && !joining) {
            join(List.of(address), nowMilliseconds);
        }
    }

    void tick(long nowMilliseconds) {
        if (joining && nowMilliseconds >= deadlineMilliseconds) {
            peerIndex = (peerIndex + 1) % peers.size();
            if (joined && peerIndex == 0) {
                joining = false;
            } else {
                requestPage(nowMilliseconds);
            }
        }
    }

    private void requestPage(long nowMilliseconds) {
        deadlineMilliseconds = nowMilliseconds + PAGE_TIMEOUT_MILLISECONDS;
        Join.Builder join = Join.newBuilder().setSelf(view.self).setFrom(position);
        view.messageSender.sendWithoutPiggyback(
                peers.get(peerIndex), GossipMessage.newBuilder().setJoin(join));
    }

    void onJoin(Join join, InetSocketAddress from, long nowMilliseconds) {
        view.mergeRecord(join.getSelf(), true, nowMilliseconds);
        List<MemberRecord> records =
                view.table.recordsFrom(join.getFrom(), MAX_RECORDS_PER_PAGE + 1);
        List<MemberRecord> firstRecords = antiEntropy.firstPage(records);
        String next =
                firstRecords.size() < records.size()
                        ? records.get(firstRecords.size()).getNodeId()
                        : "";
        MemberPage.Builder page =
                MemberPage.newBuilder()
                        .addAllMembers(firstRecords)
                        .setFrom(join.getFrom())
                        .setNext(next)
                        .setJoining(true);
        view.messageSender.sendWithoutPiggyback(
                from, GossipMessage.newBuilder().setMemberPage(page));
    }

    void onPage(MemberPage page, long nowMilliseconds) {
        if (!joining || !page.getJoining() || !page.getFrom().equals(position)) {
            return;
        }
        if (page.getNext().isEmpty()) {
            joining = false;
            joined = true;
            view.disseminator.add(view.self);
            return;
        }
        position = page.getNext();
        requestPage(nowMilliseconds);
    }
}
