package org.damaskmoor.core.admission;

import java.util.List;

/**
 * What left the queue. Immutable and thread-safe.
 *
 * @param admitted to hand to the upstream now, in this order
 * @param refused to refuse as "not run"
 */
public record DequeuedRequests(List<AdmissionRequest> admitted, List<Refusal> refused) {}
