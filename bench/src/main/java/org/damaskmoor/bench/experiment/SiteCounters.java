package org.damaskmoor.bench.experiment;

/**
 * What a site counted since its start. Immutable.
 *
 * @param attempts calls that nodes sent to targets
 * @param served requests that upstreams ran to their end
 * @param heldNanoseconds time for which requests held slots
 * @param measuringBytes bytes that all nodes spent on measuring load
 * @param paidLinkBytes those of them that crossed the paid link
 */
record SiteCounters(
        long attempts, long served, long heldNanoseconds, long measuringBytes, long paidLinkBytes) {
    /** Returns what was counted since the earlier reading. */
    SiteCounters since(SiteCounters earlier) {
        return new SiteCounters(
                attempts - earlier.attempts,
                served - earlier.served,
                heldNanoseconds - earlier.heldNanoseconds,
                measuringBytes - earlier.measuringBytes,
                paidLinkBytes - earlier.paidLinkBytes);
    }
}
