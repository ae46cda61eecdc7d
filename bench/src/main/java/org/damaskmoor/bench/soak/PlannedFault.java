package org.damaskmoor.bench.soak;

/**
 * One fault of a schedule. Immutable.
 *
 * @param startMilliseconds when it begins, since the start of the load
 * @param durationMilliseconds how long it lasts
 * @param number selects what it hits; reduced to the number of candidates
 */
public record PlannedFault(
        FaultKind kind, long startMilliseconds, long durationMilliseconds, int number) {}
