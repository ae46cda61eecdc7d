package org.damaskmoor.bench.load;

/**
 * One entry of the callers' ledger: one send and its outcome. Immutable.
 *
 * @param caller the caller's name
 * @param key the Idempotency-Key; empty for a request without one
 * @param attempt number of this send among the sends of the request, from 1
 * @param nonIdempotent true when the request must run at most once
 * @param direct true when it was sent directly to an upstream
 * @param reason reason of the refusal or failure, or status of the answer
 * @param refusalId the id of the refusal; else empty
 * @param crossed true when the answer belonged to another request or was incomplete
 * @param entry URL that it was sent to
 * @param latencyNanoseconds time from when the send was due until its outcome
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
