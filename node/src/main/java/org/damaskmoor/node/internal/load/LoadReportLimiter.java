package org.damaskmoor.node.internal.load;

import java.util.function.LongSupplier;
import java.util.function.Predicate;
import org.damaskmoor.core.id.NodeId;
import org.damaskmoor.core.load.MeasurementBudget;
import org.damaskmoor.core.load.MeasurementKind;
import org.damaskmoor.schema.mesh.LoadReport;

/**
 * Decides which answers and refusals carry a load report, within a byte budget.
 *
 * <p>Confined to the upstream event loop. Invariant: reports to other nodes stay within the budget;
 * once it is used up, answers carry an empty report, which carries no information.
 */
public final class LoadReportLimiter {
    /** Budget of a node for all measurement of load. */
    public static final long MEASURING_BYTES_PER_SECOND = 3_000;

    /** Size of the report's field number and length in its frame. */
    private static final int FIELD_BYTES = 2;

    private final NodeId self;
    private final Predicate<NodeId> inOtherRegion;
    private final MeasurementBudget budget;
    private final MeasurementCounters counters;
    private final LongSupplier clock;

    /**
     * Creates the limiter of a target.
     *
     * @param self this node; reports to itself cost nothing
     * @param inOtherRegion whether a node is reached over the paid link
     * @param probeBytesPerSecond the part of the node's budget reserved for probes
     * @param counters counts the bytes spent
     * @param clock the monotonic clock, in nanoseconds
     */
    public LoadReportLimiter(
            NodeId self,
            Predicate<NodeId> inOtherRegion,
            long probeBytesPerSecond,
            MeasurementCounters counters,
            LongSupplier clock) {
        this.self = self;
        this.inOtherRegion = inOtherRegion;
        this.budget =
                new MeasurementBudget(
                        Math.max(0, MEASURING_BYTES_PER_SECOND - probeBytesPerSecond),
                        clock.getAsLong());
        this.counters = counters;
        this.clock = clock;
    }

    /**
     * Returns the report to send to the peer: the given one, or an empty one if the budget is used
     * up.
     */
    public LoadReport reportFor(NodeId peer, LoadReport report) {
        if (self.equals(peer)) {
            return report;
        }
        int bytes = FIELD_BYTES + report.getSerializedSize();
        if (!budget.trySpend(MeasurementKind.REPORT, bytes, clock.getAsLong())) {
            return LoadReport.getDefaultInstance();
        }
        if (peer != null && inOtherRegion.test(peer)) {
            counters.countOverPaidLink(MeasurementKind.REPORT, bytes);
        } else {
            counters.countWithinRegion(MeasurementKind.REPORT, bytes);
        }
        return report;
    }
}
