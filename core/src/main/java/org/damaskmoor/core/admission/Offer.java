package org.damaskmoor.core.admission;

import java.util.List;

/** What became of an offered request. Immutable and thread-safe. */
public sealed interface Offer {
    /** Hand it to the upstream now. */
    record Admitted() implements Offer {}

    /**
     * It waits.
     *
     * @param displaced requests that waited and are refused in favour of this one
     */
    record Queued(List<Refusal> displaced) implements Offer {}

    /** It is refused. */
    record Refused(Refusal refusal) implements Offer {}
}
