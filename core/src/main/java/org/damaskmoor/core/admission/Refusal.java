package org.damaskmoor.core.admission;

import org.damaskmoor.core.id.RequestId;
import org.damaskmoor.schema.mesh.RefusalReason;

/**
 * A request that did not run here and never will. Immutable and thread-safe.
 *
 * @param id the request
 * @param reason why
 * @param retryAfterMilliseconds when to try again, as an estimate
 */
public record Refusal(RequestId id, RefusalReason reason, long retryAfterMilliseconds) {}
