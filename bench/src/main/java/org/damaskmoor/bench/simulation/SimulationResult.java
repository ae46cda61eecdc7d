package org.damaskmoor.bench.simulation;

import java.util.Locale;
import org.damaskmoor.bench.simulation.VirtualNetwork.Totals;

/**
 * What one size of group cost. Immutable and thread-safe.
 *
 * @param size members
 * @param measuredMilliseconds virtual time of each of the two measured spans
 * @param quiet traffic without changes
 * @param churned traffic with changes at the fleet's rate for each member
 * @param processorMicroseconds processor time of all members in the quiet span
 * @param heapBytesPerMember what a node keeps for each other node
 * @param configurationMilliseconds until every member knew of a change; -1: not in time
 * @param leaveMilliseconds until every member knew of a leaving upstream; -1: not in time
 * @param failure what the failure of a whole data centre came to
 */
public record SimulationResult(
        int size,
        long measuredMilliseconds,
        Totals quiet,
        Totals churned,
        double processorMicroseconds,
        double heapBytesPerMember,
        long configurationMilliseconds,
        long leaveMilliseconds,
        Failure failure) {
    /**
     * What the failure of a whole data centre came to.
     *
     * @param members members that failed
     * @param milliseconds until every other member held all of them for dead; -1: not in time
     * @param bytesPerSecond traffic of each other member in that time
     * @param falselyDead most members that some member holds for dead although they run
     */
    record Failure(int members, long milliseconds, double bytesPerSecond, long falselyDead) {}

    /** One line of key=value pairs. */
    public String toLine() {
        double nodeSeconds = size * measuredMilliseconds / 1_000.0;
        return String.format(
                Locale.ROOT,
                "members=%d datagrams_per_second=%.2f bytes_per_second=%.0f"
                        + " paid_bytes_per_second=%.1f churned_bytes_per_second=%.0f"
                        + " churned_paid_bytes_per_second=%.1f"
                        + " processor_microseconds_per_second=%.0f heap_bytes_per_member=%.0f"
                        + " configuration_spread_ms=%d leave_spread_ms=%d"
                        + " failed_at_once=%d all_dead_ms=%d failure_bytes_per_second=%.0f"
                        + " falsely_dead=%d",
                size,
                quiet.datagrams() / nodeSeconds,
                quiet.bytes() / nodeSeconds,
                quiet.paidBytes() / nodeSeconds,
                churned.bytes() / nodeSeconds,
                churned.paidBytes() / nodeSeconds,
                processorMicroseconds / nodeSeconds,
                heapBytesPerMember,
                configurationMilliseconds,
                leaveMilliseconds,
                failure.members(),
                failure.milliseconds(),
                failure.bytesPerSecond(),
                failure.falselyDead());
    }
}
