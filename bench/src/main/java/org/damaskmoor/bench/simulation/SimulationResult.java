package org.damaskmoor.bench.simulation;

import java.util.Locale;
import org.damaskmoor.bench.simulation.VirtualNetwork.Totals;

/**
 * The costs of the membership protocol at one group size. Immutable and thread-safe.
 *
 * @param size number of members
 * @param measuredMilliseconds virtual duration of each of the two measurements
 * @param quiet traffic without changes of members or configuration
 * @param churned traffic with changes at the fleet's rate, scaled by size
 * @param processorMicroseconds processor time of all members during the quiet measurement
 * @param heapBytesPerMember heap that a node uses for each other node
 * @param configurationMilliseconds time until every member knew a new configuration; -1 if it timed
 *     out
 * @param leaveMilliseconds time until every member knew of a leaving upstream; -1 if it timed out
 * @param failure the effects of the failure of a whole data centre
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
     * The effects of the failure of a whole data centre.
     *
     * @param members number of members that failed
     * @param milliseconds time until every survivor considered all of them dead; -1 if it timed out
     * @param bytesPerSecond traffic of each survivor during that time
     * @param falselyDead largest number of running members that one survivor considers dead
     */
    record Failure(int members, long milliseconds, double bytesPerSecond, long falselyDead) {}

    /** Returns the result as one line of key=value pairs. */
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
