package org.damaskmoor.node.internal.entry;

import org.damaskmoor.core.id.CallerName;
import org.damaskmoor.core.id.ServiceName;
import org.damaskmoor.schema.mesh.Call;

/**
 * The part of a call that is known before a target is chosen and is the same for all attempts.
 *
 * <p>Immutable and thread-safe.
 *
 * @param service the requested service
 * @param caller the caller's name
 * @param call the call without attempt number, target incarnation and remaining time
 * @param arrivalNanoseconds when the request was read completely, on the monotonic clock
 * @param deadlineNanoseconds when the request times out, on the monotonic clock
 */
public record CallTemplate(
        ServiceName service,
        CallerName caller,
        Call call,
        long arrivalNanoseconds,
        long deadlineNanoseconds) {}
