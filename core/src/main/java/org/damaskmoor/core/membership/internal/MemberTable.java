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
 * All known members including this node, with digests over the present ones.
 *
 * <p>Invariants: a record is only replaced by a newer one in the order of {@link RecordOrder}; the
 * digest of a bucket is the exclusive or over its present members. Not thread-safe; used on the
 * protocol thread.
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

    /** Stores a record if it is newer than the known one, and returns the previous record. */
    Change merge(MemberRecord record, long nowMilliseconds) {
        Member member = members.get(record.getNodeId());
        if (member == null) {
            member = new Member(record, nowMilliseconds);
            members.put(record.getNodeId(), member);
            addPresent(member);
            return new Change(true, null);
        }
        MemberRecord previous = member.record;
        if (RecordOrder.compare(record, previous) <= 0) {
            return new Change(false, previous);
        }
        removePresent(member);
        member.record = record;
        member.changedMilliseconds = nowMilliseconds;
        addPresent(member);
        return new Change(true, previous);
    }

    /** Whether a record was stored, and the previous record, or null when there was none. */
    record Change(boolean applied, MemberRecord previous) {}

    private void addPresent(Member member) {
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

    private void removePresent(Member member) {
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

    /** Returns the present members of a region, in no particular order. */
    List<Member> presentIn(String region) {
        return presentByRegion.getOrDefault(region, List.of());
    }

    Iterable<String> regions() {
        return presentByRegion.keySet();
    }

    int present() {
        return present;
    }

    /** Shuffles the present members of a region. */
    void shuffle(String region) {
        List<Member> list = regionList(region);
        for (int i = list.size() - 1; i > 0; i--) {
            swap(list, i, random.nextInt(i + 1));
        }
    }

    /**
     * Returns a random present member of the region other than {@code except}, or null when none is
     * found.
     */
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

    /**
     * Returns a random dead member of the region, to detect members that came back, or null when
     * there is none.
     */
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

    /** Removes the records of members that have been dead or departed for too long. */
    void dropTombstones(long olderThanMilliseconds) {
        Iterator<Member> all = members.values().iterator();
        while (all.hasNext()) {
            Member member = all.next();
            if (!member.isPresent() && member.changedMilliseconds < olderThanMilliseconds) {
                all.remove();
            }
        }
    }

    /** Returns at most {@code limit} records, in order of node id, starting at the given one. */
    List<MemberRecord> recordsFrom(String nodeId, int limit) {
        return members.tailMap(nodeId, true).values().stream()
                .limit(limit)
                .map(member -> member.record)
                .toList();
    }

    /** Returns all records in the given buckets, including those of dead and departed members. */
    List<MemberRecord> recordsInBuckets(BitSet buckets) {
        List<MemberRecord> records = new ArrayList<>();
        for (Member member : members.values()) {
            if (buckets.get(RecordOrder.bucketOf(member.id()))) {
                records.add(member.record);
            }
        }
        return records;
    }

    /** Returns all records, including those of dead and departed members. */
    List<MemberRecord> records() {
        List<MemberRecord> records = new ArrayList<>(members.size());
        members.values().forEach(member -> records.add(member.record));
        return records;
    }

    long digest(int bucket) {
        return digests[bucket];
    }
}
