package org.damaskmoor.soak.fault;

/**
 * A planned fault. Immutable and thread-safe.
 *
 * @param kind which fault to inject
 * @param subject selects the affected relay; reduced modulo the number of relays
 * @param startMilliseconds start, in milliseconds since the start of the load
 * @param durationMilliseconds how long the fault lasts
 */
public record PlannedFault(
        FaultKind kind, int subject, long startMilliseconds, long durationMilliseconds) {}
