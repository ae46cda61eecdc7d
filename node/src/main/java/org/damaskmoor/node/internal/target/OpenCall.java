package org.damaskmoor.node.internal.target;

import java.util.concurrent.TimeUnit;
import org.damaskmoor.core.admission.AdmissionRequest;
import org.damaskmoor.core.id.CallerName;
import org.damaskmoor.core.id.RequestId;
import org.damaskmoor.schema.mesh.Call;

/**
 * A call that was accepted and has not ended. Immutable and thread-safe.
 *
 * @param id the request id
 * @param call the call
 * @param deadlineNanoseconds when its answer is no longer of use, on the monotonic clock
 */
record OpenCall(RequestId id, Call call, long deadlineNanoseconds) {
    AdmissionRequest toAdmissionRequest() {
        return new AdmissionRequest(
                id,
                new CallerName(call.getCaller()),
                call.getWeight(),
                call.getImportance(),
                deadlineNanoseconds);
    }

    long remainingMilliseconds(long nowNanoseconds) {
        return Math.max(0, TimeUnit.NANOSECONDS.toMillis(deadlineNanoseconds - nowNanoseconds));
    }
}
