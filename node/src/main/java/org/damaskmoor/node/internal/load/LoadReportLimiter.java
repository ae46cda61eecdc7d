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
 * <p>Confined to the upstream event loop. Invariant: bytes of reports to other nodes stay within
 * the budget; without budget an answer carries an empty report, which says nothing.
 */
public final class LoadReportLimiter {
    /** What a node may spend on measuring in all. */
    public static final long MEASURING_BYTES_PER_SECOND = 3_000;

    /** Field number and length of the report within the frame that it rides on. */
    private static final int FIELD_BYTES = 2;

    private final NodeId self;
    private final Predicate<NodeId> inOtherRegion;
    private final MeasurementBudget budget;
    private final MeasurementCounters counters;
    private final LongSupplier clock;

    /**
     * Creates the decision of one target.
     *
     * @param self this node, to which reports cost nothing
     * @param inOtherRegion whether the paid link leads to a node
     * @param probeBytesPerSecond what probes may take of the node's budget
     * @param counters counts what was spent
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

    /** The report as the peer gets it: whole, or empty when the budget is used up. */
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
