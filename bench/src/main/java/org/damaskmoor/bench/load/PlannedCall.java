package org.damaskmoor.bench.load;

/**
 * One planned request of a schedule. Immutable.
 *
 * @param dueNanoseconds due time since the start of the load
 * @param caller the caller's name
 * @param booking true for a non-idempotent POST, false for a lookup by GET
 * @param nonce unique id of this request
 * @param resends true when the caller resends with the same key after an unknown outcome
 * @param direct true when it is sent directly to an upstream
 * @param entry selects the entry node; reduced modulo the number of entries
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
