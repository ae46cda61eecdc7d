package org.damaskmoor.core.admission;

import java.util.List;

/** The decision on an offered request. Immutable and thread-safe. */
public sealed interface AdmissionDecision {
    /** The request is to be forwarded to the upstream now. */
    record Admitted() implements AdmissionDecision {}

    /**
     * The request waits in the queue.
     *
     * @param displaced waiting requests that are refused in favour of this one
     */
    record Queued(List<Refusal> displaced) implements AdmissionDecision {}

    /** The request is refused. */
    record Refused(Refusal refusal) implements AdmissionDecision {}
}
