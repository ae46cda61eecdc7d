package org.damaskmoor.node.internal.entry;

import org.damaskmoor.core.id.CallerName;
import org.damaskmoor.core.id.ServiceName;
import org.damaskmoor.schema.mesh.Call;

/**
 * What is known of a request before a target is chosen: all fields of its call but the attempt's.
 *
 * <p>Immutable and thread-safe.
 *
 * @param service the service it is for
 * @param caller who sent it
 * @param call the call without attempt, target incarnation and deadline
 * @param deadlineNanoseconds when the caller's patience ends, on the monotonic clock
 */
public record CallTemplate(
        ServiceName service, CallerName caller, Call call, long deadlineNanoseconds) {}
