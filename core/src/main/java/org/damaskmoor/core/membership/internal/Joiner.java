package org.damaskmoor.core.membership.internal;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import org.damaskmoor.schema.gossip.GossipMessage;
import org.damaskmoor.schema.gossip.Join;
import org.damaskmoor.schema.gossip.MemberPage;
import org.damaskmoor.schema.gossip.MemberRecord;

/**
 * Fetches all members page by page from one peer, and from the next peer when one falls silent.
 *
 * <p>Invariant: pages are taken in order of node id; one that was doubled or overtaken is taken in
 * as records but does not move the place. Confined to the thread that drives the protocol.
 */
final class Joiner {
    private static final long ANSWER_TIMEOUT_MILLISECONDS = 1_000;
    private static final int MOST_PER_PAGE = 40;

    private final MembershipView group;
    private final AntiEntropy pages;
    private final List<InetSocketAddress> peers = new ArrayList<>();
    private int peer;
    private String place = "";
    private boolean joining;
    private boolean joined;
    private long deadlineMilliseconds;

    Joiner(MembershipView group, AntiEntropy pages) {
        this.group = group;
        this.pages = pages;
    }

    boolean isJoined() {
        return joined;
    }

    /** Starts over with these peers; without any this node is the first of its group. */
    void join(List<InetSocketAddress> addresses, long nowMilliseconds) {
        peers.clear();
        peers.addAll(addresses);
        peer = 0;
        place = "";
        joining = !peers.isEmpty();
        joined = joined || peers.isEmpty();
        if (joining) {
            ask(nowMilliseconds);
        }
    }

    /**
     * A node that is not known here asks for this one: when no join point could be read, it is the
     * first peer.
     */
    void joinThrough(InetSocketAddress address, long nowMilliseconds) {
        if (!joined && !joining) {
            join(List.of(address), nowMilliseconds);
        }
    }

    void tick(long nowMilliseconds) {
        if (joining && nowMilliseconds >= deadlineMilliseconds) {
            peer = (peer + 1) % peers.size();
            ask(nowMilliseconds);
        }
    }

    private void ask(long nowMilliseconds) {
        deadlineMilliseconds = nowMilliseconds + ANSWER_TIMEOUT_MILLISECONDS;
        Join.Builder join = Join.newBuilder().setSelf(group.self).setFrom(place);
        group.outbox.sendWithoutPiggyback(
                peers.get(peer), GossipMessage.newBuilder().setJoin(join));
    }

    void onJoin(Join join, InetSocketAddress from, long nowMilliseconds) {
        group.mergeRecord(join.getSelf(), true, nowMilliseconds);
        List<MemberRecord> waiting = group.table.recordsFrom(join.getFrom(), MOST_PER_PAGE + 1);
        List<MemberRecord> fitting = pages.firstPage(waiting);
        String next =
                fitting.size() < waiting.size() ? waiting.get(fitting.size()).getNodeId() : "";
        MemberPage.Builder page =
                MemberPage.newBuilder()
                        .addAllMembers(fitting)
                        .setFrom(join.getFrom())
                        .setNext(next)
                        .setJoining(true);
        group.outbox.sendWithoutPiggyback(from, GossipMessage.newBuilder().setMemberPage(page));
    }

    void onPage(MemberPage page, long nowMilliseconds) {
        if (!joining || !page.getJoining() || !page.getFrom().equals(place)) {
            return;
        }
        if (page.getNext().isEmpty()) {
            joining = false;
            joined = true;
            group.spread.add(group.self);
            return;
        }
        place = page.getNext();
        ask(nowMilliseconds);
    }
}
