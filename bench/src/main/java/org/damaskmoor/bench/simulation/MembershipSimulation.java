package org.damaskmoor.bench.simulation;

import java.lang.management.ManagementFactory;
import java.lang.management.ThreadMXBean;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.function.Predicate;
import org.damaskmoor.core.id.NodeId;
import org.damaskmoor.core.membership.MembershipProtocol;
import org.damaskmoor.schema.gossip.ConfigurationVersion;
import org.damaskmoor.schema.gossip.GossipMessage;
import org.damaskmoor.schema.gossip.MemberPage;
import org.damaskmoor.schema.gossip.MemberRecord;

/**
 * Drives the membership state machines of one group with virtual time and measures what each costs.
 * Not thread-safe.
 */
public final class MembershipSimulation {
    private static final long TICK = MembershipProtocol.TICK_MILLISECONDS;
    private static final long SETTLING_MILLISECONDS = 20_000;
    private static final long LONGEST_SPREAD_MILLISECONDS = 60_000;
    private static final long LONGEST_DETECTION_MILLISECONDS = 300_000;
    private static final long CHECK_MILLISECONDS = 1_000;
    private static final long DAY_MILLISECONDS = 86_400_000;
    private static final int RECORDS_PER_PAGE = 400;

    /** The larger fleet's churn, which shrinks with the group. */
    private static final int FLEET = 2_800;

    private static final int MEMBER_CHANGES_PER_DAY = 4 * 305;
    private static final int CONFIGURATION_CHANGES_PER_DAY = 3_400;

    private final int size;
    private final Random random;
    private final VirtualNetwork network = new VirtualNetwork();
    private final List<SimulatedMember> members = new ArrayList<>();
    private final ThreadMXBean threads = ManagementFactory.getThreadMXBean();
    private long now = 1_000_000;
    private long configurationVersion = 1;

    public MembershipSimulation(int size, long seed) {
        this.size = size;
        this.random = new Random(seed);
    }

    public SimulationResult run(long measuredMilliseconds) {
        double heapBytesPerMember = fill();
        advance(SETTLING_MILLISECONDS, false);
        VirtualNetwork.Totals before = network.totals();
        long processorNanoseconds = threads.getCurrentThreadCpuTime();
        advance(measuredMilliseconds, false);
        processorNanoseconds = threads.getCurrentThreadCpuTime() - processorNanoseconds;
        VirtualNetwork.Totals quiet = network.totals().minus(before);
        before = network.totals();
        advance(measuredMilliseconds, true);
        VirtualNetwork.Totals churned = network.totals().minus(before);
        advance(SETTLING_MILLISECONDS, false);
        return new SimulationResult(
                size,
                measuredMilliseconds,
                quiet,
                churned,
                processorNanoseconds / 1_000.0,
                heapBytesPerMember,
                spreadConfiguration(),
                spreadLeave(),
                failDataCentre());
    }

    /** Stops all members of one data centre at once. */
    private SimulationResult.Failure failDataCentre() {
        String dataCentre = members.get(2).dataCentre();
        members.stream()
                .filter(member -> member.dataCentre().equals(dataCentre))
                .forEach(SimulatedMember::fail);
        List<SimulatedMember> left = members.stream().filter(each -> !each.hasFailed()).toList();
        int failed = size - left.size();
        VirtualNetwork.Totals before = network.totals();
        long start = now;
        boolean known = false;
        while (!known && now - start < LONGEST_DETECTION_MILLISECONDS) {
            advance(CHECK_MILLISECONDS, false);
            known = left.stream().allMatch(member -> member.deadMembers() >= failed);
        }
        long milliseconds = now - start;
        VirtualNetwork.Totals traffic = network.totals().minus(before);
        advance(SETTLING_MILLISECONDS, false);
        long mostDead = left.stream().mapToLong(SimulatedMember::deadMembers).max().orElse(0);
        double bytesPerSecond = traffic.bytes() * 1_000.0 / milliseconds / left.size();
        return new SimulationResult.Failure(
                failed, known ? milliseconds : -1, bytesPerSecond, mostDead - failed);
    }

    /** Makes all members know one another; returns what one of them keeps for each other one. */
    private double fill() {
        List<GossipMessage> pages = pages();
        long heapBefore = usedHeap();
        for (int i = 0; i < size; i++) {
            SimulatedMember member = new SimulatedMember(i, network, random, now);
            network.add(member);
            member.join(List.of(), now);
            pages.forEach(page -> member.receivePage(page, member.address(), now));
            members.add(member);
        }
        double known = (double) size * size;
        return (usedHeap() - heapBefore) / known + recordHeapBytes();
    }

    private List<GossipMessage> pages() {
        List<GossipMessage> pages = new ArrayList<>();
        for (int start = 0; start < size; start += RECORDS_PER_PAGE) {
            MemberPage.Builder page = MemberPage.newBuilder();
            for (int i = start; i < Math.min(size, start + RECORDS_PER_PAGE); i++) {
                page.addMembers(aliveRecordOf(i));
            }
            pages.add(GossipMessage.newBuilder().setSender("setup").setMemberPage(page).build());
        }
        return pages;
    }

    private static MemberRecord aliveRecordOf(int number) {
        return SimulatedMember.recordOf(number).toBuilder().setStateValue(1).build();
    }

    /** The members here share their records; a process of its own holds each one. */
    private static double recordHeapBytes() {
        int count = 20_000;
        List<MemberRecord> records = new ArrayList<>(count);
        long before = usedHeap();
        for (int i = 0; i < count; i++) {
            records.add(aliveRecordOf(i));
        }
        double bytes = (double) (usedHeap() - before) / count;
        return records.isEmpty() ? 0 : bytes;
    }

    private static long usedHeap() {
        for (int i = 0; i < 3; i++) {
            System.gc();
        }
        Runtime runtime = Runtime.getRuntime();
        return runtime.totalMemory() - runtime.freeMemory();
    }

    private void advance(long milliseconds, boolean churn) {
        long end = now + milliseconds;
        while (now < end) {
            step();
            if (churn) {
                churn();
            }
        }
    }

    private void step() {
        now += TICK;
        network.deliver(now);
        for (SimulatedMember member : members) {
            member.tick(now);
        }
    }

    /** Changes of members and of configuration at the rate of the larger fleet. */
    private void churn() {
        double share = (double) size / FLEET * TICK / DAY_MILLISECONDS;
        if (random.nextDouble() < share * MEMBER_CHANGES_PER_DAY) {
            SimulatedMember member = members.get(random.nextInt(size));
            member.announceCapacity(1 + random.nextInt(1_000), now);
        }
        if (random.nextDouble() < share * CONFIGURATION_CHANGES_PER_DAY) {
            members.get(random.nextInt(size)).broadcastConfiguration(nextVersion());
        }
    }

    private ConfigurationVersion nextVersion() {
        return ConfigurationVersion.newBuilder()
                .setService("service-" + random.nextInt(340))
                .setVersion(++configurationVersion)
                .build();
    }

    private long spreadConfiguration() {
        ConfigurationVersion version = nextVersion();
        members.get(0).broadcastConfiguration(version);
        return untilAll(member -> member.hasConfiguration(version));
    }

    private long spreadLeave() {
        NodeId leaving = members.get(1).id();
        members.get(1).startLeaving(now);
        return untilAll(member -> member.knowsLeaving(leaving));
    }

    private long untilAll(Predicate<SimulatedMember> knows) {
        long start = now;
        while (now - start < LONGEST_SPREAD_MILLISECONDS) {
            if (members.stream().allMatch(knows)) {
                return now - start;
            }
            step();
        }
        return -1;
    }
}
