package org.damaskmoor.soak.fault;

/**
 * One fault as it is planned. Immutable and thread-safe.
 *
 * @param kind what goes wrong
 * @param subject chooses the relay that it happens to
 * @param startMilliseconds when, from the begin of the load
 * @param durationMilliseconds how long
 */
public record PlannedFault(
        FaultKind kind, int subject, long startMilliseconds, long durationMilliseconds) {}
