package org.damaskmoor.bench.soak;

/**
 * One fault of a schedule. Immutable.
 *
 * @param startMilliseconds start time since the start of the load
 * @param durationMilliseconds duration of the fault
 * @param number selects the subject; reduced modulo the number of candidates
 */
public record PlannedFault(
        FaultKind kind, long startMilliseconds, long durationMilliseconds, int number) {}
