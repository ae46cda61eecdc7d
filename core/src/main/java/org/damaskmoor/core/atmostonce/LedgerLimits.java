package org.damaskmoor.core.atmostonce;

/**
 * Bounds on the memory of a {@link TargetLedger}.
 *
 * <p>Invariant: all bounds are positive. Immutable and thread-safe.
 *
 * @param maximumEntries requests kept at once, tombstones and joined resends included
 * @param maximumAnswerBytes bytes of answers cached for resends; the oldest are evicted first
 * @param maximumFences entry incarnations that can be fenced individually when the ledger is full
 */
public record LedgerLimits(int maximumEntries, long maximumAnswerBytes, int maximumFences) {
    public LedgerLimits {
        if (maximumEntries <= 0 || maximumAnswerBytes <= 0 || maximumFences <= 0) {
            throw new IllegalArgumentException(
                    "The limits of a ledger must be positive, but were maximumEntries="
                            + maximumEntries
                            + ", maximumAnswerBytes="
                            + maximumAnswerBytes
                            + ", maximumFences="
                            + maximumFences
                            + ".");
        }
    }
}
