package org.damaskmoor.bench.experiment;

/**
 * Counters of a site. Immutable.
 *
 * @param attempts attempts that nodes sent to targets
 * @param served requests that upstreams completed
 * @param heldNanoseconds total time that requests occupied slots
 * @param measuringBytes bytes that all nodes sent to measure load
 * @param paidLinkBytes the part of {@code measuringBytes} that crossed the paid link
 */
record SiteCounters(
        long attempts, long served, long heldNanoseconds, long measuringBytes, long paidLinkBytes) {
    /** Returns the differences from earlier counters. */
    SiteCounters since(SiteCounters earlier) {
        return new SiteCounters(
                attempts - earlier.attempts,
                served - earlier.served,
                heldNanoseconds - earlier.heldNanoseconds,
                measuringBytes - earlier.measuringBytes,
                paidLinkBytes - earlier.paidLinkBytes);
    }
}
