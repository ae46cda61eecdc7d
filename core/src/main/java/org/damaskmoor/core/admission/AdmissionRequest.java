package org.damaskmoor.core.admission;

import java.util.Objects;
import org.damaskmoor.core.id.CallerName;
import org.damaskmoor.core.id.RequestId;

/**
 * A request that asks to be handed to the upstream. Immutable and thread-safe.
 *
 * @param id the request
 * @param caller who sent it
 * @param weight what it counts for in its caller's share; at least 1
 * @param importance from 0, shed first, to 3, shed last
 * @param deadlineNanoseconds when its answer is of no use any more, on the clock of all times
 */
public record AdmissionRequest(
        RequestId id, CallerName caller, int weight, int importance, long deadlineNanoseconds) {
    public AdmissionRequest {
        Objects.requireNonNull(id, "id");
        Objects.requireNonNull(caller, "caller");
        weight = Math.max(1, weight);
    }
}
