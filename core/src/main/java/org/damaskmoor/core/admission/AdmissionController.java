package org.damaskmoor.core.admission;

import org.damaskmoor.core.admission.internal.UpstreamAdmissionController;
import org.damaskmoor.core.id.RequestId;
import org.damaskmoor.schema.mesh.LoadReport;
import org.damaskmoor.schema.mesh.UpstreamState;

/**
 * Admission control in front of one upstream: decides which requests are forwarded, queued or
 * refused.
 *
 * <pre>{@code
 * AdmissionDecision decision = controller.offer(request, now);
 * // forward, wait or refuse; whenever a forwarded request ends:
 * controller.onFinished(id, latency, AdmissionOutcome.ANSWERED, now);
 * DequeuedRequests dequeued = controller.dequeue(now);
 * }</pre>
 *
 * <p>Invariants: no more requests are in flight than the limit, except for those forwarded before
 * the limit was lowered; no more requests wait than the queue limit; each offered request ends
 * exactly once as admitted, refused or cancelled. A refused request was never forwarded. Times are
 * in nanoseconds of one monotonic clock. Not thread-safe: use each controller from a single thread.
 */
public interface AdmissionController {
    /** Creates a controller for an upstream that has not announced itself yet. */
    static AdmissionController create(AdmissionOptions options) {
        return new UpstreamAdmissionController(options);
    }

    /** Applies a changed configuration. */
    void configure(AdmissionOptions options);

    /**
     * Called when the upstream announced itself, or when its announcement expired ({@code ABSENT}).
     */
    void onUpstreamState(UpstreamState state, int slots, int connections);

    /** Refuses new requests from now on; waiting requests and those in flight still run. */
    void drain();

    /** Whether no request is waiting or in flight. */
    boolean isIdle();

    /**
     * Decides on a new request. The id must differ from those of all requests that are waiting or
     * in flight.
     */
    AdmissionDecision offer(AdmissionRequest request, long nowNanoseconds);

    /**
     * Removes from the queue the requests that may be forwarded now, and those that can no longer
     * be served. Call it after {@link #onFinished}, after {@link #onUpstreamState}, and every few
     * milliseconds while requests are waiting.
     */
    DequeuedRequests dequeue(long nowNanoseconds);

    /** Removes a waiting request; returns false when it is not in the queue. */
    boolean cancel(RequestId id);

    /**
     * Called when a forwarded request has ended, {@code latencyNanoseconds} after it was forwarded.
     */
    void onFinished(
            RequestId id, long latencyNanoseconds, AdmissionOutcome outcome, long nowNanoseconds);

    /** Returns the current load. */
    LoadReport loadReport(long nowNanoseconds);
}
