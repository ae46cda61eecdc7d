package org.damaskmoor.core.load;

import java.util.Collection;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.damaskmoor.core.hash.StableHash;
import org.damaskmoor.core.id.NodeId;
import org.damaskmoor.core.id.RegionName;
import org.damaskmoor.core.id.ServiceName;
import org.damaskmoor.core.id.TargetId;
import org.damaskmoor.schema.mesh.LoadReport;

/**
 * Aggregates the load of one service in the local region for other regions, and decides when a
 * summary is due.
 *
 * <p>A summary is due when occupancy has changed considerably since the last one, but no sooner
 * than {@link #MIN_INTERVAL_MILLISECONDS} after it; without such a change it is due after {@link
 * #MAX_INTERVAL_MILLISECONDS}. Targets without a fresh report count with the mean of the others.
 * Not thread-safe.
 */
public final class RegionSummarizer {
    /**
     * Summaries of 340 services, 80 bytes each, to 3 other regions every 2.5 s are 33 KB/s, within
     * the link's budget.
     */
    public static final long MIN_INTERVAL_MILLISECONDS = 2500;

    /** Limits how long a lost summary goes unnoticed. */
    public static final long MAX_INTERVAL_MILLISECONDS = 20_000;

    private static final double SIGNIFICANT_OCCUPANCY_CHANGE = 0.1;
    private static final long FRESH_NANOSECONDS = TimeUnit.SECONDS.toNanos(2);

    private final ServiceName service;
    private final RegionName region;
    private final Map<TargetId, TimedReport> reports = new HashMap<>();
    private boolean everSent;
    private long sentAtNanoseconds;
    private double sentOccupancy;

    private record TimedReport(LoadReport report, long atNanoseconds) {}

    public RegionSummarizer(ServiceName service, RegionName region) {
        this.service = service;
        this.region = region;
    }

    /**
     * Returns the node that sends the summaries of a service: the one with the greatest combined
     * hash of service and node. Nodes with different views of the members may both send, which is
     * harmless.
     */
    public static Optional<NodeId> electSender(
            ServiceName service, Collection<NodeId> nodesOfRegion) {
        long serviceHash = StableHash.of(service.value());
        return nodesOfRegion.stream()
                .max((a, b) -> Long.compare(rank(serviceHash, a), rank(serviceHash, b)));
    }

    /** Called when a load report of a target in the local region arrived. */
    public void onLoadReport(TargetId target, LoadReport report, long nowNanoseconds) {
        if (report.getLimit() > 0) {
            reports.put(target, new TimedReport(report, nowNanoseconds));
        }
    }

    /** Returns the current summary; empty without fresh reports. */
    public Optional<RegionSummary> summary(int targets, long nowNanoseconds) {
        reports.values().removeIf(each -> nowNanoseconds - each.atNanoseconds > FRESH_NANOSECONDS);
        if (reports.isEmpty() || targets == 0) {
            return Optional.empty();
        }
        long load = 0;
        long limit = 0;
        long latency = 0;
        for (TimedReport each : reports.values()) {
            LoadReport report = each.report;
            load += report.getInFlight() + (long) report.getQueued();
            limit += report.getLimit();
            latency += (long) report.getLimit() * report.getLatencyMicroseconds();
        }
        int count = reports.size();
        return Optional.of(
                new RegionSummary(
                        service,
                        region,
                        targets,
                        load * targets / count,
                        limit * targets / count,
                        latency / limit));
    }

    /** Returns the summary to send now, if one is due, and records it as sent. */
    public Optional<RegionSummary> pollDue(int targets, long nowNanoseconds) {
        long sinceSent = TimeUnit.NANOSECONDS.toMillis(nowNanoseconds - sentAtNanoseconds);
        if (everSent && sinceSent < MIN_INTERVAL_MILLISECONDS) {
            return Optional.empty();
        }
        Optional<RegionSummary> summary = summary(targets, nowNanoseconds);
        if (summary.isEmpty() || !isWorthSending(summary.get(), sinceSent)) {
            return Optional.empty();
        }
        everSent = true;
        sentAtNanoseconds = nowNanoseconds;
        sentOccupancy = summary.get().occupancy();
        return summary;
    }

    private boolean isWorthSending(RegionSummary summary, long sinceSentMilliseconds) {
        if (!everSent || sinceSentMilliseconds >= MAX_INTERVAL_MILLISECONDS) {
            return true;
        }
        return Math.abs(summary.occupancy() - sentOccupancy) >= SIGNIFICANT_OCCUPANCY_CHANGE;
    }

    private static long rank(long serviceHash, NodeId node) {
        return StableHash.combine(serviceHash, StableHash.of(node.value()));
    }
}
