package org.damaskmoor.core.admission;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import org.damaskmoor.core.id.CallerName;
import org.damaskmoor.core.id.Incarnation;
import org.damaskmoor.core.id.NodeId;
import org.damaskmoor.core.id.RequestId;
import org.damaskmoor.schema.mesh.UpstreamState;

/**
 * An admission controller for an upstream with a given number of slots, with a manual clock and
 * helper methods.
 */
final class AdmissionFixture {
    static final long MILLISECOND = TimeUnit.MILLISECONDS.toNanos(1);
    static final CallerName RESIDENTS = new CallerName("residents");
    static final CallerName CREWS = new CallerName("crews");
    private static final NodeId ENTRY = new NodeId("entry");

    final AdmissionController controller;
    final List<RequestId> running = new ArrayList<>();
    long now = Long.MAX_VALUE - 5 * MILLISECOND;
    private long sequence;

    AdmissionFixture(int slots, int queueLimit) {
        this(slots, new AdmissionOptions(0, queueLimit, Map.of()));
    }

    AdmissionFixture(int slots, AdmissionOptions options) {
        controller = AdmissionController.create(options);
        controller.onUpstreamState(UpstreamState.SERVING, slots, 250);
    }

    AdmissionRequest request(CallerName caller, int importance, long deadlineMilliseconds) {
        RequestId id = new RequestId(ENTRY, new Incarnation(1), ++sequence);
        return new AdmissionRequest(
                id, caller, 1, importance, now + deadlineMilliseconds * MILLISECOND);
    }

    AdmissionRequest request() {
        return request(RESIDENTS, 1, 5000);
    }

    AdmissionDecision offer(AdmissionRequest request) {
        AdmissionDecision decision = controller.offer(request, now);
        if (decision instanceof AdmissionDecision.Admitted) {
            running.add(request.id());
        }
        return decision;
    }

    AdmissionDecision offer() {
        return offer(request());
    }

    DequeuedRequests dequeue() {
        DequeuedRequests dequeued = controller.dequeue(now);
        dequeued.admitted().forEach(request -> running.add(request.id()));
        return dequeued;
    }

    void advance(long milliseconds) {
        now += milliseconds * MILLISECOND;
    }

    void finishOne(long latencyMilliseconds, AdmissionOutcome outcome) {
        controller.onFinished(running.remove(0), latencyMilliseconds * MILLISECOND, outcome, now);
    }

    /** Lets the upstream answer {@code count} requests, each while all slots are in use. */
    void answer(int count, long latencyMilliseconds) {
        for (int i = 0; i < count; i++) {
            while (running.size() < controller.loadReport(now).getLimit()) {
                offer();
            }
            finishOne(latencyMilliseconds, AdmissionOutcome.ANSWERED);
        }
    }

    void finishAll() {
        while (!running.isEmpty()) {
            finishOne(5, AdmissionOutcome.CANCELLED);
        }
    }

    int limit() {
        return controller.loadReport(now).getLimit();
    }
}
