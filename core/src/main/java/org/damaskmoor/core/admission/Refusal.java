package org.damaskmoor.core.admission;

import org.damaskmoor.core.id.RequestId;
import org.damaskmoor.schema.mesh.RefusalReason;

/**
 * The refusal of a request, which was not run and will not run here. Immutable and thread-safe.
 *
 * @param id id of the request
 * @param reason reason of the refusal
 * @param retryAfterMilliseconds estimated time after which a retry may succeed
 */
public record Refusal(RequestId id, RefusalReason reason, long retryAfterMilliseconds) {}
