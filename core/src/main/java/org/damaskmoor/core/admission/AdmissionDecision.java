package org.damaskmoor.core.admission;

import java.util.List;

/** What became of an offered request. Immutable and thread-safe. */
public sealed interface AdmissionDecision {
    /** Hand it to the upstream now. */
    record Admitted() implements AdmissionDecision {}

    /**
     * It waits.
     *
     * @param displaced requests that waited and are refused in favour of this one
     */
    record Queued(List<Refusal> displaced) implements AdmissionDecision {}

    /** It is refused. */
    record Refused(Refusal refusal) implements AdmissionDecision {}
}
