package org.damaskmoor.node.internal.entry;

import org.damaskmoor.core.id.CallerName;
import org.damaskmoor.core.id.ServiceName;
import org.damaskmoor.schema.mesh.RefusalReason;

/**
 * A request that is refused before it ran. Immutable and thread-safe.
 *
 * @param service the requested service
 * @param caller the caller's name
 * @param reason the reason for the refusal
 * @param weight the weight with which the request is counted
 */
public record Refusal(ServiceName service, CallerName caller, RefusalReason reason, int weight) {}
