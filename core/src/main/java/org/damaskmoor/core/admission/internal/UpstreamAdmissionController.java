package org.damaskmoor.core.admission.internal;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.damaskmoor.core.admission.AdmissionController;
import org.damaskmoor.core.admission.AdmissionDecision;
import org.damaskmoor.core.admission.AdmissionOptions;
import org.damaskmoor.core.admission.AdmissionOutcome;
import org.damaskmoor.core.admission.AdmissionRequest;
import org.damaskmoor.core.admission.DequeuedRequests;
import org.damaskmoor.core.admission.Refusal;
import org.damaskmoor.core.id.CallerName;
import org.damaskmoor.core.id.RequestId;
import org.damaskmoor.schema.mesh.LoadReport;
import org.damaskmoor.schema.mesh.RefusalReason;
import org.damaskmoor.schema.mesh.UpstreamState;

/**
 * Admission control for one upstream: a concurrency limit, a bounded queue, and weighted shares
 * between callers.
 *
 * <p>Each request occupies one slot of the upstream regardless of its weight, which counts only
 * towards its caller's share. Capacity is short while the queue is at least half full. Not
 * thread-safe.
 */
public final class UpstreamAdmissionController implements AdmissionController {
    /**
     * A request that is expected to wait longer than this is refused, so that it can be tried
     * elsewhere.
     */
    private static final long MAX_WAIT_NANOSECONDS = TimeUnit.MILLISECONDS.toNanos(500);

    private static final double FAILURE_SAMPLE_WEIGHT = 0.1;
    private static final long MIN_RETRY_AFTER_MILLISECONDS = 10;
    private static final long RETRY_AFTER_ABSENCE_MILLISECONDS = 1000;
    private static final double PER_THOUSAND = 1000;

    private final GradientConcurrencyLimit limit = new GradientConcurrencyLimit();
    private final RequestQueue queue = new RequestQueue();
    private final CallerShares shares = new CallerShares();
    private final ServiceTimeTracker serviceTime = new ServiceTimeTracker();
    private AdmissionOptions options;
    private UpstreamState state = UpstreamState.ABSENT;
    private int slots = 1;
    private int connections = 1;
    private boolean draining;
    private double failureRate;
    private long sequence;

    public UpstreamAdmissionController(AdmissionOptions options) {
        this.options = options;
    }

    @Override
    public void configure(AdmissionOptions newOptions) {
        options = newOptions;
        limit.setMaximum(maximum());
    }

    @Override
    public void onUpstreamState(UpstreamState newState, int newSlots, int newConnections) {
        state = newState;
        if (newState != UpstreamState.ABSENT) {
            slots = newSlots;
            connections = newConnections;
            limit.setMaximum(maximum());
        }
    }

    @Override
    public void drain() {
        draining = true;
    }

    @Override
    public boolean isIdle() {
        return queue.isEmpty() && serviceTime.inFlight() == 0;
    }

    @Override
    public AdmissionDecision offer(AdmissionRequest request, long now) {
        limit.recover(now);
        QueuedRequest waiting = new QueuedRequest(request, sequence++, now);
        int ahead = queue.countAhead(waiting);
        RefusalReason reason = reasonToRefuse(request, ahead, now);
        if (reason != null) {
            return new AdmissionDecision.Refused(refusal(request, reason, now));
        }
        if (queue.isEmpty() && hasSlot()) {
            shares.add(request);
            serviceTime.onStarted(request, now);
            return new AdmissionDecision.Admitted();
        }
        return enqueue(waiting, now);
    }

    @Override
    public DequeuedRequests dequeue(long now) {
        limit.recover(now);
        List<Refusal> refused = new ArrayList<>();
        List<AdmissionRequest> admitted = new ArrayList<>();
        for (QueuedRequest waiting :
                queue.removeAll(each -> reasonToRefuseWaiting(each, now) != null)) {
            shares.remove(waiting.request());
            refused.add(refusal(waiting.request(), reasonToRefuseWaiting(waiting, now), now));
        }
        while (!queue.isEmpty() && hasSlot()) {
            AdmissionRequest request = queue.removeFirst().request();
            serviceTime.onStarted(request, now);
            admitted.add(request);
        }
        return new DequeuedRequests(admitted, refused);
    }

    @Override
    public boolean cancel(RequestId id) {
        QueuedRequest waiting = queue.remove(id);
        if (waiting != null) {
            shares.remove(waiting.request());
        }
        return waiting != null;
    }

    @Override
    public void onFinished(RequestId id, long latency, AdmissionOutcome outcome, long now) {
        int inFlight = serviceTime.inFlight();
        AdmissionRequest request = serviceTime.onEnded(id);
        if (request == null) {
            return;
        }
        shares.remove(request);
        switch (outcome) {
            case ANSWERED -> {
                limit.onAnswered(latency, inFlight);
                serviceTime.onAnswered(latency);
                updateFailureRate(0);
            }
            case FAILED -> updateFailureRate(1);
            case SHED -> limit.onShed(now);
            default -> {
                // Not evidence about the upstream: limit and failure rate do not change.
            }
        }
    }

    @Override
    public LoadReport loadReport(long now) {
        limit.recover(now);
        double microseconds = serviceTime.typicalNanoseconds(now) / 1000;
        return LoadReport.newBuilder()
                .setInFlight(serviceTime.inFlight())
                .setQueued(queue.size())
                .setLimit(limit.value())
                .setLatencyMicroseconds((int) Math.min(Integer.MAX_VALUE, microseconds))
                .setFailuresPerThousand((int) Math.round(failureRate * PER_THOUSAND))
                .setState(draining ? UpstreamState.LEAVING : state)
                .build();
    }

    private int maximum() {
        int configured = options.concurrencyLimit() > 0 ? options.concurrencyLimit() : slots;
        return Math.min(configured, connections);
    }

    private boolean hasSlot() {
        return serviceTime.inFlight() < limit.value();
    }

    /** Returns the reason to refuse a new request, or null to accept it. */
    private RefusalReason reasonToRefuse(AdmissionRequest request, int ahead, long now) {
        if (draining || state == UpstreamState.LEAVING) {
            return RefusalReason.DRAINING;
        }
        if (state == UpstreamState.ABSENT) {
            return RefusalReason.UPSTREAM_UNREACHABLE;
        }
        if (request.deadlineNanoseconds() - now <= 0) {
            return RefusalReason.DEADLINE_PASSED;
        }
        double wait = waitNanoseconds(ahead);
        if (wait + expectedServiceNanoseconds() > request.deadlineNanoseconds() - now) {
            return RefusalReason.DEADLINE_TOO_SHORT;
        }
        if (wait > MAX_WAIT_NANOSECONDS) {
            return RefusalReason.OVERLOADED;
        }
        boolean overShare = isCapacityShort() && shares.isOverShare(request, options);
        if (overShare && !hasLessImportantWaiting(request)) {
            return RefusalReason.CALLER_OVER_SHARE;
        }
        return null;
    }

    /** Returns the reason to refuse a waiting request, or null to keep it. */
    private RefusalReason reasonToRefuseWaiting(QueuedRequest waiting, long now) {
        if (state == UpstreamState.ABSENT) {
            return RefusalReason.UPSTREAM_UNREACHABLE;
        }
        long remaining = waiting.request().deadlineNanoseconds() - now;
        if (remaining <= 0) {
            return RefusalReason.DEADLINE_PASSED;
        }
        if (remaining < expectedServiceNanoseconds()) {
            return RefusalReason.DEADLINE_TOO_SHORT;
        }
        if (now - waiting.queuedAtNanoseconds() > 2 * MAX_WAIT_NANOSECONDS) {
            return RefusalReason.OVERLOADED;
        }
        return null;
    }

    private AdmissionDecision enqueue(QueuedRequest waiting, long now) {
        List<Refusal> displaced = List.of();
        if (queue.size() >= options.queueLimit()) {
            Refusal refusal = displaceFor(waiting, now);
            if (refusal == null) {
                Refusal full = refusal(waiting.request(), RefusalReason.QUEUE_FULL, now);
                return new AdmissionDecision.Refused(full);
            }
            displaced = List.of(refusal);
        }
        shares.add(waiting.request());
        queue.add(waiting);
        return new AdmissionDecision.Queued(displaced);
    }

    /**
     * Displaces a waiting request: first a less important one, then one of a caller over its share.
     */
    private Refusal displaceFor(QueuedRequest waiting, long now) {
        int importance = waiting.request().importance();
        RefusalReason reason = RefusalReason.OVERLOADED;
        QueuedRequest victim = queue.findLast(other -> other.request().importance() < importance);
        if (victim == null) {
            reason = RefusalReason.CALLER_OVER_SHARE;
            victim = lastOfCallerOverShare(waiting.request());
        }
        if (victim == null) {
            return null;
        }
        queue.remove(victim);
        shares.remove(victim.request());
        return refusal(victim.request(), reason, now);
    }

    private QueuedRequest lastOfCallerOverShare(AdmissionRequest request) {
        CallerName caller = shares.mostOverShare(request, options);
        if (request.caller().equals(caller)) {
            return null;
        }
        return queue.findLast(
                other ->
                        other.request().caller().equals(caller)
                                && other.request().importance() <= request.importance());
    }

    private boolean hasLessImportantWaiting(AdmissionRequest request) {
        int importance = request.importance();
        return queue.findLast(other -> other.request().importance() < importance) != null;
    }

    private boolean isCapacityShort() {
        return queue.size() > 0 && 2 * queue.size() >= options.queueLimit();
    }

    /**
     * Returns 0 for an idle upstream, so that it always gets a request and an outdated mean is
     * corrected.
     */
    private double expectedServiceNanoseconds() {
        return serviceTime.inFlight() == 0 ? 0 : serviceTime.meanNanoseconds();
    }

    /** Expected time until a request with {@code ahead} requests before it is forwarded. */
    private double waitNanoseconds(int ahead) {
        if (queue.isEmpty() && hasSlot()) {
            return 0;
        }
        return (ahead + 1) * serviceTime.meanNanoseconds() / limit.value();
    }

    private Refusal refusal(AdmissionRequest request, RefusalReason reason, long now) {
        return new Refusal(request.id(), reason, retryAfterMilliseconds(now));
    }

    /** Expected time until the requests waiting and in flight now have finished. */
    private long retryAfterMilliseconds(long now) {
        if (state == UpstreamState.ABSENT) {
            return RETRY_AFTER_ABSENCE_MILLISECONDS;
        }
        double rounds = (double) (queue.size() + serviceTime.inFlight()) / limit.value();
        double nanoseconds = rounds * serviceTime.typicalNanoseconds(now);
        long milliseconds = TimeUnit.NANOSECONDS.toMillis((long) nanoseconds);
        return Math.max(MIN_RETRY_AFTER_MILLISECONDS, milliseconds);
    }

    private void updateFailureRate(double outcome) {
        failureRate += FAILURE_SAMPLE_WEIGHT * (outcome - failureRate);
    }
}
