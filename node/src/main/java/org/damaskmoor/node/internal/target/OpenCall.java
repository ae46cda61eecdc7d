package org.damaskmoor.node.internal.target;

import java.util.concurrent.TimeUnit;
import org.damaskmoor.core.admission.AdmissionRequest;
import org.damaskmoor.core.id.CallerName;
import org.damaskmoor.core.id.RequestId;
import org.damaskmoor.schema.mesh.Call;

/**
 * A call that was accepted and has not ended. Immutable and thread-safe.
 *
 * @param id the request
 * @param call what to run
 * @param deadlineNanoseconds when its answer is of no use any more
 */
record OpenCall(RequestId id, Call call, long deadlineNanoseconds) {
    AdmissionRequest admission() {
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
