package org.damaskmoor.core.admission;

import java.util.List;

/**
 * The requests removed from the queue. Immutable and thread-safe.
 *
 * @param admitted the requests to forward to the upstream now, in this order
 * @param refused the requests to refuse as "not run"
 */
public record DequeuedRequests(List<AdmissionRequest> admitted, List<Refusal> refused) {}
