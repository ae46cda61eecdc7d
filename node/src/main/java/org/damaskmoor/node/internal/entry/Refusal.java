package org.damaskmoor.node.internal.entry;

import org.damaskmoor.core.id.CallerName;
import org.damaskmoor.core.id.ServiceName;
import org.damaskmoor.schema.mesh.RefusalReason;

/**
 * One request that is refused before it ran. Immutable and thread-safe.
 *
 * @param service the service it was for
 * @param caller who sent it
 * @param reason why it is refused
 * @param weight what it counts for
 */
public record Refusal(ServiceName service, CallerName caller, RefusalReason reason, int weight) {}
