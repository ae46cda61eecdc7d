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
 * Brings together two members that hold different records: digests are exchanged now and then, and
 * only records of differing buckets are sent.
 *
 * <p>Invariant: digests that differ are answered with a bounded number of buckets. Confined to the
 * thread that drives the protocol.
 */
final class AntiEntropy {
    private static final int BUCKETS_PER_ANSWER = 8;
    private static final int MOST_PER_PAGE = 40;
    private static final int PAGE_OVERHEAD_BYTES = 250;
    private static final long REPEAT_INTERVAL_MILLISECONDS = 3_000;

    private final MembershipView group;
    private final RegionReachability regions;
    private final Map<String, Long> nextExchangeMilliseconds = new HashMap<>();

    AntiEntropy(MembershipView group, RegionReachability regions) {
        this.group = group;
        this.regions = regions;
    }

    void tick(long nowMilliseconds) {
        exchangeWhenDue(group.region(), nowMilliseconds);
        for (String region : regions.bridgedRegions()) {
            exchangeWhenDue(region, nowMilliseconds);
        }
    }

    private void exchangeWhenDue(String region, long nowMilliseconds) {
        long interval = group.settings.digestIntervalMilliseconds();
        Long due = nextExchangeMilliseconds.get(region);
        if (due == null) {
            long first = nowMilliseconds + group.random.nextLong(interval);
            nextExchangeMilliseconds.put(region, first);
        } else if (nowMilliseconds >= due) {
            nextExchangeMilliseconds.put(region, nowMilliseconds + interval);
            Member peer = group.table.randomIn(region, group.self.getNodeId());
            if (peer != null) {
                sendDigests(peer.address(), false);
            }
        }
    }

    /** Exchanges digests with a region at the next tick. */
    void scheduleExchange(String region) {
        nextExchangeMilliseconds.put(region, 0L);
    }

    private void sendDigests(InetSocketAddress to, boolean answer) {
        MemberDigests.Builder digests = MemberDigests.newBuilder().setAnswer(answer);
        for (int bucket = 0; bucket < RecordOrder.buckets(); bucket++) {
            digests.addBuckets(group.table.digest(bucket));
        }
        group.outbox.sendWithoutPiggyback(to, GossipMessage.newBuilder().setMemberDigests(digests));
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
        sendPages(group.table.recordsInBuckets(differing), from);
        if (digests.getAnswer() && peer != null) {
            long again = nowMilliseconds + REPEAT_INTERVAL_MILLISECONDS;
            nextExchangeMilliseconds.merge(peer.record.getRegion(), again, Math::min);
        }
    }

    private BitSet differing(MemberDigests digests) {
        BitSet differing = new BitSet();
        if (digests.getBucketsCount() != RecordOrder.buckets()) {
            return differing;
        }
        int offset = group.random.nextInt(RecordOrder.buckets());
        for (int i = 0; i < RecordOrder.buckets(); i++) {
            int bucket = (i + offset) % RecordOrder.buckets();
            boolean differs = group.table.digest(bucket) != digests.getBuckets(bucket);
            if (differs && differing.cardinality() < BUCKETS_PER_ANSWER) {
                differing.set(bucket);
            }
        }
        return differing;
    }

    private void sendPages(List<MemberRecord> records, InetSocketAddress to) {
        int start = 0;
        while (start < records.size()) {
            MemberPage.Builder page = MemberPage.newBuilder();
            List<MemberRecord> fitting = firstPage(records.subList(start, records.size()));
            page.addAllMembers(fitting);
            start += fitting.size();
            group.outbox.sendWithoutPiggyback(to, GossipMessage.newBuilder().setMemberPage(page));
        }
    }

    /** The first records that fit into one datagram; at least one. */
    List<MemberRecord> firstPage(Iterable<MemberRecord> records) {
        int left = group.settings.datagramBytes() - PAGE_OVERHEAD_BYTES;
        List<MemberRecord> fitting = new ArrayList<>();
        for (MemberRecord record : records) {
            left -= record.getSerializedSize() + 3;
            boolean full = fitting.size() == MOST_PER_PAGE || left < 0;
            if (full && !fitting.isEmpty()) {
                break;
            }
            fitting.add(record);
        }
        return fitting;
    }
}
