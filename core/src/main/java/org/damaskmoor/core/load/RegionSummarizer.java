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
 * Sums up one service in the own region for the other regions, and says when a summary is due.
 *
 * <p>A summary is due at once when occupancy has changed much since the last one, but never sooner
 * than {@link #LEAST_INTERVAL_MILLISECONDS}; at the latest after {@link
 * #GREATEST_INTERVAL_MILLISECONDS}. Targets that were not heard of lately count with the mean of
 * the others. Not thread-safe.
 */
public final class RegionSummarizer {
    /** 340 services, 3 other regions and 80 bytes each 2.5 s: 33 KB/s, within the link's share. */
    public static final long LEAST_INTERVAL_MILLISECONDS = 2500;

    /** Keeps a lost summary from being missed for long. */
    public static final long GREATEST_INTERVAL_MILLISECONDS = 20_000;

    private static final double MUCH_CHANGED_OCCUPANCY = 0.1;
    private static final long FRESH_NANOSECONDS = TimeUnit.SECONDS.toNanos(2);

    private final ServiceName service;
    private final RegionName region;
    private final Map<TargetId, Heard> heard = new HashMap<>();
    private boolean everSent;
    private long sentAtNanoseconds;
    private double sentOccupancy;

    private record Heard(LoadReport report, long atNanoseconds) {}

    public RegionSummarizer(ServiceName service, RegionName region) {
        this.service = service;
        this.region = region;
    }

    /**
     * The node that sends the summaries of a service: the one with the greatest hash of both names.
     * Nodes that see different members may both send, which does no harm.
     */
    public static Optional<NodeId> electSender(
            ServiceName service, Collection<NodeId> nodesOfRegion) {
        long serviceHash = StableHash.of(service.value());
        return nodesOfRegion.stream()
                .max((a, b) -> Long.compare(rank(serviceHash, a), rank(serviceHash, b)));
    }

    /** A load report of a target of the own region came. */
    public void onLoadReport(TargetId target, LoadReport report, long nowNanoseconds) {
        if (report.getLimit() > 0) {
            heard.put(target, new Heard(report, nowNanoseconds));
        }
    }

    /** The summary of this instant; empty when nothing fresh is known. */
    public Optional<RegionSummary> summary(int targets, long nowNanoseconds) {
        heard.values().removeIf(each -> nowNanoseconds - each.atNanoseconds > FRESH_NANOSECONDS);
        if (heard.isEmpty() || targets == 0) {
            return Optional.empty();
        }
        long load = 0;
        long limit = 0;
        long latency = 0;
        for (Heard each : heard.values()) {
            LoadReport report = each.report;
            load += report.getInFlight() + (long) report.getQueued();
            limit += report.getLimit();
            latency += (long) report.getLimit() * report.getLatencyMicroseconds();
        }
        int count = heard.size();
        return Optional.of(
                new RegionSummary(
                        service,
                        region,
                        targets,
                        load * targets / count,
                        limit * targets / count,
                        latency / limit));
    }

    /** The summary to send now, if one is due; counts as sent. */
    public Optional<RegionSummary> pollDue(int targets, long nowNanoseconds) {
        long sinceSent = TimeUnit.NANOSECONDS.toMillis(nowNanoseconds - sentAtNanoseconds);
        if (everSent && sinceSent < LEAST_INTERVAL_MILLISECONDS) {
            return Optional.empty();
        }
        Optional<RegionSummary> summary = summary(targets, nowNanoseconds);
        if (summary.isEmpty() || !worthSending(summary.get(), sinceSent)) {
            return Optional.empty();
        }
        everSent = true;
        sentAtNanoseconds = nowNanoseconds;
        sentOccupancy = summary.get().occupancy();
        return summary;
    }

    private boolean worthSending(RegionSummary summary, long sinceSentMilliseconds) {
        if (!everSent || sinceSentMilliseconds >= GREATEST_INTERVAL_MILLISECONDS) {
            return true;
        }
        return Math.abs(summary.occupancy() - sentOccupancy) >= MUCH_CHANGED_OCCUPANCY;
    }

    private static long rank(long serviceHash, NodeId node) {
        return StableHash.combine(serviceHash, StableHash.of(node.value()));
    }
}
