package org.damaskmoor.node.internal.entry;

/**
 * Bounds of an entry node. Immutable and thread-safe.
 *
 * @param openRequests most requests that wait for their reply
 * @param defaultTimeoutMilliseconds deadline when neither caller nor rule names one
 * @param acceptanceTimeoutMilliseconds silence after which a call is sealed
 */
public record EntryLimits(
        int openRequests, long defaultTimeoutMilliseconds, long acceptanceTimeoutMilliseconds) {}
