package org.damaskmoor.bench.load;

/**
 * One line of the callers' ledger: one send and what came of it. Immutable.
 *
 * @param caller the caller's name
 * @param key the Idempotency-Key; empty for a request without one
 * @param attempt which send of this request it was, from 1
 * @param nonIdempotent true when the request must run at most once
 * @param direct true when it went straight to an upstream
 * @param reason why it was refused or failed; else empty
 * @param refusalId the id of the refusal; else empty
 * @param crossed true when an answer was another request's or not whole
 * @param entry where it was sent
 * @param latencyNanoseconds time since the send was due
 */
public record CallRecord(
        String caller,
        String key,
        int attempt,
        boolean nonIdempotent,
        boolean direct,
        Outcome outcome,
        String reason,
        String refusalId,
        boolean crossed,
        String entry,
        long latencyNanoseconds) {}
