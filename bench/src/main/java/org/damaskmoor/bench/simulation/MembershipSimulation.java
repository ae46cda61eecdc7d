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
 * Simulates the membership protocol of one group in virtual time and measures its traffic,
 * processor time, heap and propagation times. Not thread-safe.
 */
public final class MembershipSimulation {
    private static final long TICK_MILLISECONDS = MembershipProtocol.TICK_MILLISECONDS;
    private static final long SETTLING_MILLISECONDS = 20_000;
    private static final long PROPAGATION_TIMEOUT_MILLISECONDS = 60_000;
    private static final long DETECTION_TIMEOUT_MILLISECONDS = 300_000;
    private static final long CHECK_INTERVAL_MILLISECONDS = 1_000;
    private static final long DAY_MILLISECONDS = 86_400_000;
    private static final int RECORDS_PER_PAGE = 400;

    /** Members of the larger fleet, which the daily changes below refer to. */
    private static final int FLEET_SIZE = 2_800;

    private static final int MEMBER_CHANGES_PER_DAY = 4 * 305;
    private static final int CONFIGURATION_CHANGES_PER_DAY = 3_400;

    private final int size;
    private final Random random;
    private final VirtualNetwork network = new VirtualNetwork();
    private final List<SimulatedMember> members = new ArrayList<>();
    private final ThreadMXBean threads = ManagementFactory.getThreadMXBean();
    private long nowMilliseconds = 1_000_000;
    private long configurationVersion = 1;

    public MembershipSimulation(int size, long seed) {
        this.size = size;
        this.random = new Random(seed);
    }

    public SimulationResult run(long measuredMilliseconds) {
        double heapBytesPerMember = addMembers();
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
                measureConfigurationPropagation(),
                measureLeavePropagation(),
                measureDataCentreFailure());
    }

    /** Stops all members of one data centre at once; measures detection time and traffic. */
    private SimulationResult.Failure measureDataCentreFailure() {
        String dataCentre = members.get(2).dataCentre();
        members.stream()
                .filter(member -> member.dataCentre().equals(dataCentre))
                .forEach(SimulatedMember::fail);
        List<SimulatedMember> survivors =
                members.stream().filter(member -> !member.hasFailed()).toList();
        int failed = size - survivors.size();
        VirtualNetwork.Totals before = network.totals();
        long start = nowMilliseconds;
        boolean detected = false;
        while (!detected && nowMilliseconds - start < DETECTION_TIMEOUT_MILLISECONDS) {
            advance(CHECK_INTERVAL_MILLISECONDS, false);
            detected = survivors.stream().allMatch(member -> member.deadMembers() >= failed);
        }
        long milliseconds = nowMilliseconds - start;
        VirtualNetwork.Totals traffic = network.totals().minus(before);
        advance(SETTLING_MILLISECONDS, false);
        long maxDeadMembers =
                survivors.stream().mapToLong(SimulatedMember::deadMembers).max().orElse(0);
        double bytesPerSecond = traffic.bytes() * 1_000.0 / milliseconds / survivors.size();
        return new SimulationResult.Failure(
                failed, detected ? milliseconds : -1, bytesPerSecond, maxDeadMembers - failed);
    }

    /**
     * Adds all members, each with the records of all others; returns the heap bytes that a member
     * uses per known member.
     */
    private double addMembers() {
        List<GossipMessage> pages = pages();
        long heapBefore = usedHeap();
        for (int i = 0; i < size; i++) {
            SimulatedMember member = new SimulatedMember(i, network, random, nowMilliseconds);
            network.add(member);
            member.join(List.of(), nowMilliseconds);
            pages.forEach(page -> member.receivePage(page, member.address(), nowMilliseconds));
            members.add(member);
        }
        double knownMembers = (double) size * size;
        return (usedHeap() - heapBefore) / knownMembers + recordHeapBytes();
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

    /** Returns the heap bytes of one record: simulated members share records, real nodes don't. */
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
        long end = nowMilliseconds + milliseconds;
        while (nowMilliseconds < end) {
            step();
            if (churn) {
                churn();
            }
        }
    }

    private void step() {
        nowMilliseconds += TICK_MILLISECONDS;
        network.deliver(nowMilliseconds);
        for (SimulatedMember member : members) {
            member.tick(nowMilliseconds);
        }
    }

    /** Changes random members and configurations at the rate of the larger fleet. */
    private void churn() {
        double share = (double) size / FLEET_SIZE * TICK_MILLISECONDS / DAY_MILLISECONDS;
        if (random.nextDouble() < share * MEMBER_CHANGES_PER_DAY) {
            SimulatedMember member = members.get(random.nextInt(size));
            member.announceCapacity(1 + random.nextInt(1_000), nowMilliseconds);
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

    private long measureConfigurationPropagation() {
        ConfigurationVersion version = nextVersion();
        members.get(0).broadcastConfiguration(version);
        return awaitAll(member -> member.hasConfiguration(version));
    }

    private long measureLeavePropagation() {
        NodeId leaving = members.get(1).id();
        members.get(1).startLeaving(nowMilliseconds);
        return awaitAll(member -> member.knowsLeaving(leaving));
    }

    private long awaitAll(Predicate<SimulatedMember> condition) {
        long start = nowMilliseconds;
        while (nowMilliseconds - start < PROPAGATION_TIMEOUT_MILLISECONDS) {
            if (members.stream().allMatch(condition)) {
                return nowMilliseconds - start;
            }
            step();
        }
        return -1;
    }
}
