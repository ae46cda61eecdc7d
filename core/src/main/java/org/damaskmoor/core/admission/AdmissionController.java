package org.damaskmoor.core.admission;

import org.damaskmoor.core.admission.internal.UpstreamAdmissionController;
import org.damaskmoor.core.id.RequestId;
import org.damaskmoor.schema.mesh.LoadReport;
import org.damaskmoor.schema.mesh.UpstreamState;

/**
 * Decides beside one upstream which requests are handed over, which wait and which are refused.
 *
 * <pre>{@code
 * Offer offer = controller.offer(request, now);
 * // hand over, let wait or refuse; when one ended:
 * controller.finished(id, latency, AdmissionOutcome.ANSWERED, now);
 * NextAdmissions next = controller.next(now);
 * }</pre>
 *
 * <p>Invariants: never more in flight than the limit, save for those handed over before it fell;
 * never more waiting than the queue limit; each offered request leaves once, either admitted,
 * refused or cancelled. A refused request was not handed over. Times are in nanoseconds of one
 * monotonic clock. Not thread-safe: one controller belongs to one thread.
 */
public interface AdmissionController {
    /** A controller for an upstream that has not announced itself yet. */
    static AdmissionController create(AdmissionOptions options) {
        return new UpstreamAdmissionController(options);
    }

    /** The configuration has changed. */
    void configure(AdmissionOptions options);

    /** The upstream announced itself, or its announcement lapsed ({@code ABSENT}). */
    void onUpstreamState(UpstreamState state, int slots, int connections);

    /** Refuses new requests from now on; those that wait and those in flight still run. */
    void drain();

    /** Whether nothing waits and nothing is in flight. */
    boolean isIdle();

    /** A request asks to be handed over. An id must not be offered again while it is here. */
    AdmissionDecision offer(AdmissionRequest request, long nowNanoseconds);

    /**
     * What may be handed over now, and what waited in vain. Call it after {@link #onFinished},
     * after {@link #onUpstreamState}, and every few milliseconds while anything waits.
     */
    DequeuedRequests dequeue(long nowNanoseconds);

    /** Takes a waiting request out. False: it does not wait here. */
    boolean cancel(RequestId id);

    /** A request that was handed over ended, {@code latencyNanoseconds} after that. */
    void onFinished(
            RequestId id, long latencyNanoseconds, AdmissionOutcome outcome, long nowNanoseconds);

    /** The load of this instant. */
    LoadReport loadReport(long nowNanoseconds);
}
