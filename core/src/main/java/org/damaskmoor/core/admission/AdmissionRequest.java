package org.damaskmoor.core.admission;

import java.util.Objects;
import org.damaskmoor.core.id.CallerName;
import org.damaskmoor.core.id.RequestId;

/**
 * A request offered to an {@link AdmissionController}. Immutable and thread-safe.
 *
 * @param id id of the request
 * @param caller the caller that sent it
 * @param weight how much it counts towards its caller's share; at least 1
 * @param importance from 0 (shed first) to 3 (shed last)
 * @param deadlineNanoseconds deadline of the request, on the controller's clock
 */
public record AdmissionRequest(
        RequestId id, CallerName caller, int weight, int importance, long deadlineNanoseconds) {
    public AdmissionRequest {
        Objects.requireNonNull(id, "id");
        Objects.requireNonNull(caller, "caller");
        weight = Math.max(1, weight);
    }
}
