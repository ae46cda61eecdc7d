package org.damaskmoor.core.queueing;

import java.util.Optional;
import org.damaskmoor.core.id.TenantName;

/**
 * A call offered to an {@link AdmissionQueue}. Immutable and thread-safe.
 *
 * @param handle identifies the call to the user of the queue
 * @param tenant the tenant that sent it; empty if there is none, as for calls of upstreams
 * @param priority priority of the call; 0 is the highest
 * @param objectiveAt time of the latency objective, in milliseconds of the queue's clock
 * @param deadlineAt deadline of the call, in milliseconds of the queue's clock
 * @param serviceMilliseconds mean service time of such calls on an idle VM; 0 when unknown
 * @param spareMilliseconds how much the call may be delayed before another target is better
 * @param lastChoice whether the entry node has no other target to try
 */
public record QueuedCall<T>(
        T handle,
        Optional<TenantName> tenant,
        int priority,
        long objectiveAt,
        long deadlineAt,
        double serviceMilliseconds,
        double spareMilliseconds,
        boolean lastChoice) {

    /** Creates a call without a tenant. */
    public QueuedCall(
            T handle,
            int priority,
            long objectiveAt,
            long deadlineAt,
            double serviceMilliseconds,
            double spareMilliseconds,
            boolean lastChoice) {
        this(
                handle,
                Optional.empty(),
                priority,
                objectiveAt,
                deadlineAt,
                serviceMilliseconds,
                spareMilliseconds,
                lastChoice);
    }
}
