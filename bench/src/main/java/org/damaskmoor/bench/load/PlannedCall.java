package org.damaskmoor.bench.load;

/**
 * One request that the schedule has a caller send. Immutable.
 *
 * @param dueNanoseconds when it is due, since the start of the load
 * @param caller the caller's name
 * @param booking true for a non-idempotent POST, false for a lookup by GET
 * @param nonce tells this request from all others
 * @param resends true when the caller sends again with the same key after an unknown outcome
 * @param direct true when it goes straight to an upstream
 * @param entry chooses where it enters; reduced to the number of entries
 */
public record PlannedCall(
        long dueNanoseconds,
        String caller,
        boolean booking,
        String path,
        String nonce,
        boolean resends,
        boolean direct,
        int entry) {

    /** Returns the Idempotency-Key, empty for a lookup. */
    public String key() {
        return booking ? "key-" + nonce : "";
    }
}
