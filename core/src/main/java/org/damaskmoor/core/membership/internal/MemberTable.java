package org.damaskmoor.core.membership.internal;

import java.util.ArrayList;
import java.util.BitSet;
import java.util.Collections;
import java.util.HashMap;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.NavigableMap;
import java.util.TreeMap;
import java.util.random.RandomGenerator;
import org.damaskmoor.schema.gossip.MemberRecord;
import org.damaskmoor.schema.gossip.MemberState;

/**
 * All members that this node knows, itself included, with digests over those present.
 *
 * <p>Invariants: a record is only replaced by a newer one in the order of {@link RecordOrder}; the
 * digest of a bucket is the exclusive or over its present members. Confined to the thread that
 * drives the protocol.
 */
final class MemberTable {
    private final NavigableMap<String, Member> members = new TreeMap<>();
    private final Map<String, List<Member>> presentByRegion = new HashMap<>();
    private final long[] digests = new long[RecordOrder.buckets()];
    private final RandomGenerator random;
    private int present;

    MemberTable(RandomGenerator random) {
        this.random = random;
    }

    Member find(String nodeId) {
        return members.get(nodeId);
    }

    /** Takes a record in when it is newer than the known one, and returns the former record. */
    Change merge(MemberRecord record, long nowMilliseconds) {
        Member member = members.get(record.getNodeId());
        if (member == null) {
            member = new Member(record, nowMilliseconds);
            members.put(record.getNodeId(), member);
            enter(member);
            return new Change(true, null);
        }
        MemberRecord former = member.record;
        if (RecordOrder.compare(record, former) <= 0) {
            return new Change(false, former);
        }
        exit(member);
        member.record = record;
        member.changedMilliseconds = nowMilliseconds;
        enter(member);
        return new Change(true, former);
    }

    /** Whether a record was taken in, and what stood before (null: nothing). */
    record Change(boolean applied, MemberRecord former) {}

    private void enter(Member member) {
        if (!member.isPresent()) {
            return;
        }
        digests[RecordOrder.bucketOf(member.id())] ^= RecordOrder.digestOf(member.record);
        List<Member> region = regionList(member.record.getRegion());
        member.position = region.size();
        region.add(member);
        swap(region, member.position, random.nextInt(region.size()));
        present++;
    }

    private void exit(Member member) {
        if (!member.isPresent()) {
            return;
        }
        digests[RecordOrder.bucketOf(member.id())] ^= RecordOrder.digestOf(member.record);
        List<Member> region = regionList(member.record.getRegion());
        swap(region, member.position, region.size() - 1);
        region.remove(region.size() - 1);
        member.position = -1;
        present--;
    }

    private static void swap(List<Member> region, int left, int right) {
        Collections.swap(region, left, right);
        region.get(left).position = left;
        region.get(right).position = right;
    }

    private List<Member> regionList(String region) {
        return presentByRegion.computeIfAbsent(region, name -> new ArrayList<>());
    }

    /** Present members of a region, in no order. */
    List<Member> presentIn(String region) {
        return presentByRegion.getOrDefault(region, List.of());
    }

    Iterable<String> regions() {
        return presentByRegion.keySet();
    }

    int present() {
        return present;
    }

    /** Puts a region's members into a fresh random order. */
    void shuffle(String region) {
        List<Member> list = regionList(region);
        for (int i = list.size() - 1; i > 0; i--) {
            swap(list, i, random.nextInt(i + 1));
        }
    }

    /** Some present member of the region other than this node; null when there is none. */
    Member randomIn(String region, String except) {
        List<Member> list = presentIn(region);
        for (int tries = 0; tries < 8 && !list.isEmpty(); tries++) {
            Member member = list.get(random.nextInt(list.size()));
            if (!member.id().equals(except)) {
                return member;
            }
        }
        return null;
    }

    /** Some dead member of the region, to find those that came back; null when there is none. */
    Member randomDead(String region) {
        List<Member> dead = new ArrayList<>();
        for (Member member : members.values()) {
            if (member.record.getState() == MemberState.DEAD
                    && member.record.getRegion().equals(region)) {
                dead.add(member);
            }
        }
        return dead.isEmpty() ? null : dead.get(random.nextInt(dead.size()));
    }

    /** Forgets those that have been dead or left for too long. */
    void dropTombstones(long olderThanMilliseconds) {
        Iterator<Member> all = members.values().iterator();
        while (all.hasNext()) {
            Member member = all.next();
            if (!member.isPresent() && member.changedMilliseconds < olderThanMilliseconds) {
                all.remove();
            }
        }
    }

    /** At most so many records from a node id on, in order. */
    List<MemberRecord> recordsFrom(String nodeId, int most) {
        return members.tailMap(nodeId, true).values().stream()
                .limit(most)
                .map(member -> member.record)
                .toList();
    }

    /** All records, also of the dead and the left, of the given buckets. */
    List<MemberRecord> recordsInBuckets(BitSet buckets) {
        List<MemberRecord> records = new ArrayList<>();
        for (Member member : members.values()) {
            if (buckets.get(RecordOrder.bucketOf(member.id()))) {
                records.add(member.record);
            }
        }
        return records;
    }

    /** All records, also of the dead and the left. */
    List<MemberRecord> records() {
        List<MemberRecord> records = new ArrayList<>(members.size());
        members.values().forEach(member -> records.add(member.record));
        return records;
    }

    long digest(int bucket) {
        return digests[bucket];
    }
}
