package org.damaskmoor.node.internal.entry;

/**
 * Request limits of an entry node. Immutable and thread-safe.
 *
 * @param openRequests maximum number of requests without a response
 * @param defaultTimeoutMilliseconds timeout if neither the caller nor the rule sets one
 * @param acceptanceTimeoutMilliseconds time without an acceptance after which a call is sealed
 */
public record EntryLimits(
        int openRequests, long defaultTimeoutMilliseconds, long acceptanceTimeoutMilliseconds) {}
