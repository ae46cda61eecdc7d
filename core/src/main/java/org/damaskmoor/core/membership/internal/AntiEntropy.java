package org.damaskmoor.core.membership.internal;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.BitSet;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.damaskmoor.schema.gossip.GossipMessage;
import org.damaskmoor.schema.gossip.MemberDigests;
import org.damaskmoor.schema.gossip.MemberPage;
import org.damaskmoor.schema.gossip.MemberRecord;

/**
 * Anti-entropy between members with different records: exchanges digests periodically and sends
 * only the records of differing buckets.
 *
 * <p>Invariant: the answer to differing digests covers a bounded number of buckets. Not
 * thread-safe; used on the protocol thread.
 */
final class AntiEntropy {
    private static final int BUCKETS_PER_ANSWER = 8;
    private static final int MAX_RECORDS_PER_PAGE = 40;
    private static final int PAGE_OVERHEAD_BYTES = 250;
    private static final long REPEAT_INTERVAL_MILLISECONDS = 3_000;

    private final MembershipView view;
    private final RegionReachability regionReachability;
    private final Map<String, Long> nextExchangeMilliseconds = new HashMap<>();

    AntiEntropy(MembershipView view, RegionReachability regionReachability) {
        this.view = view;
        this.regionReachability = regionReachability;
    }

    void tick(long nowMilliseconds) {
        exchangeWhenDue(view.region(), nowMilliseconds);
        for (String region : regionReachability.bridgedRegions()) {
            exchangeWhenDue(region, nowMilliseconds);
        }
    }

    private void exchangeWhenDue(String region, long nowMilliseconds) {
        long interval = view.settings.digestIntervalMilliseconds();
        Long due = nextExchangeMilliseconds.get(region);
        if (due == null) {
            long first = nowMilliseconds + view.random.nextLong(interval);
            nextExchangeMilliseconds.put(region, first);
        } else if (nowMilliseconds >= due) {
            nextExchangeMilliseconds.put(region, nowMilliseconds + interval);
            Member peer = view.table.randomIn(region, view.self.getNodeId());
            if (peer != null) {
                sendDigests(peer.address(), false);
            }
        }
    }

    /** Schedules a digest exchange with a region for the next tick. */
    void scheduleExchange(String region) {
        nextExchangeMilliseconds.put(region, 0L);
    }

    private void sendDigests(InetSocketAddress to, boolean answer) {
        MemberDigests.Builder digests = MemberDigests.newBuilder().setAnswer(answer);
        for (int bucket = 0; bucket < RecordOrder.buckets(); bucket++) {
            digests.addBuckets(view.table.digest(bucket));
        }
        view.messageSender.sendWithoutPiggyback(
                to, GossipMessage.newBuilder().setMemberDigests(digests));
    }

    void onDigests(
            MemberDigests digests, InetSocketAddress from, Member peer, long nowMilliseconds) {
        BitSet differing = differing(digests);
        if (differing.isEmpty()) {
            return;
        }
        if (!digests.getAnswer()) {
            sendDigests(from, true);
        }
        sendPages(view.table.recordsInBuckets(differing), from);
        if (digests.getAnswer() && peer != null) {
            long next = nowMilliseconds + REPEAT_INTERVAL_MILLISECONDS;
            nextExchangeMilliseconds.merge(peer.record.getRegion(), next, Math::min);
        }
    }

    private BitSet differing(MemberDigests digests) {
        BitSet differing = new BitSet();
        if (digests.getBucketsCount() != RecordOrder.buckets()) {
            return differing;
        }
        int offset = view.random.nextInt(RecordOrder.buckets());
        for (int i = 0; i < RecordOrder.buckets(); i++) {
            int bucket = (i + offset) % RecordOrder.buckets();
            boolean differs = view.table.digest(bucket) != digests.getBuckets(bucket);
            if (differs && differing.cardinality() < BUCKETS_PER_ANSWER) {
                differing.set(bucket);
            }
        }
        return differing;
    }

    private void sendPages(List<MemberRecord> records, InetSocketAddress to) {
        int start = 0;
        while (start < records.size()) {
            MemberPage.Builder message = MemberPage.newBuilder();
            List<MemberRecord> page = firstPage(records.subList(start, records.size()));
            message.addAllMembers(page);
            start += page.size();
            view.messageSender.sendWithoutPiggyback(
                    to, GossipMessage.newBuilder().setMemberPage(message));
        }
    }

    /** Returns the first records that fit into one datagram, at least one. */
    List<MemberRecord> firstPage(Iterable<MemberRecord> records) {
        int remainingBytes = view.settings.datagramBytes() - PAGE_OVERHEAD_BYTES;
        List<MemberRecord> page = new ArrayList<>();
        for (MemberRecord record : records) {
            remainingBytes -= record.getSerializedSize() + 3;
            boolean full = page.size() == MAX_RECORDS_PER_PAGE || remainingBytes < 0;
            if (full && !page.isEmpty()) {
                break;
            }
            page.add(record);
        }
        return page;
    }
}
