package org.damaskmoor.relay.internal.target;

import org.damaskmoor.core.queueing.AdmissionQueue;
import org.damaskmoor.core.queueing.QueueDecision;
import org.damaskmoor.core.queueing.SlowdownDetector;
import org.damaskmoor.core.queueing.StartPacer;
import org.damaskmoor.core.upstream.UpstreamTracker;
import org.damaskmoor.relay.internal.time.Timers;
import org.damaskmoor.schema.mesh.RefusalReason;

/**
 * Starts, queues or refuses calls at the target, by the state and the load of the upstream and by
 * the request limit that it names and by its warm-up.
 *
 * <p>Confined to the event loop. Invariants: each admitted call is handed to the runner once, or
 * refused; a health check is sent for a call only if the call may start after it.
 */
final class CallAdmission {
    /** How often the queue is checked while calls wait in it. */
    private static final long QUEUE_CHECK_INTERVAL_MILLISECONDS = 20;

    private static final double PERCENT = 100;

    private final UpstreamTracker tracker;
    private final AdmissionQueue<TargetCall> queue;
    private final StartPacer pacer;
    private final OpenCalls openCalls;
    private final SlownessProbe slownessProbe;
    private final CallRunner runner;
    private final TargetLoadReporter loadReporter;
    private final TargetCallbacks callbacks;
    private final Timers timers;
    private boolean queueCheckScheduled;

    CallAdmission(
            UpstreamTracker tracker,
            AdmissionQueue<TargetCall> queue,
            StartPacer pacer,
            OpenCalls openCalls,
            SlownessProbe slownessProbe,
            CallRunner runner,
            TargetLoadReporter loadReporter,
            TargetCallbacks callbacks,
            Timers timers) {
        this.tracker = tracker;
        this.queue = queue;
        this.pacer = pacer;
        this.openCalls = openCalls;
        this.slownessProbe = slownessProbe;
        this.runner = runner;
        this.loadReporter = loadReporter;
        this.callbacks = callbacks;
        this.timers = timers;
    }

    /** Admits a call that the ledger has accepted. */
    void admit(TargetCall call) {
        openCalls.add(call);
        boolean mayProbe = !tracker.isDown() && !isPaced(queue.waiting());
        if (!mayProbe || !slownessProbe.deferUntilProbed(call)) {
            offer(call);
        }
    }

    /**
     * Whether the request limit or the cold limit delays a call behind the given number of others.
     */
    private boolean isPaced(int callsAhead) {
        return pacer.waitMilliseconds(callsAhead, timers.now()) > 0;
    }

    /** Starts, queues or refuses a call, unless it has ended meanwhile. */
    void offer(TargetCall call) {
        if (!openCalls.contains(call)) {
            return;
        }
        long now = timers.now();
        SlowdownDetector detector = slownessProbe.slowdownDetector();
        RefusalReason refusalReason = refusalReason(call);
        if (refusalReason != null) {
            openCalls.refuse(call, refusalReason, 0);
            return;
        }
        boolean readingIsFresh = detector.isFresh(now);
        double expectedSlowness = call.message.getExpectedSlownessPercent() / PERCENT;
        double delay =
                readingIsFresh
                        ? detector.delayMilliseconds(
                                call.message.getUsualMilliseconds(), expectedSlowness, now)
                        : 0;
        boolean mayStart = !(readingIsFresh && detector.isInSlowdown(now));
        QueueDecision decision = queue.offer(call.toQueuedCall(), delay, mayStart, now);
        queue.drainDisplaced()
                .forEach(
                        displaced ->
                                openCalls.refuse(
                                        displaced,
                                        RefusalReason.QUEUE_FULL,
                                        queue.retryAfterMilliseconds(displaced.deadlineAt, now)));
        switch (decision.kind()) {
            case START -> runner.handOver(call);
            case WAIT -> scheduleQueueCheck();
            case SEND_BACK ->
                    openCalls.refuse(
                            call, RefusalReason.QUEUE_FULL, decision.retryAfterMilliseconds());
            default ->
                    throw new IllegalStateException(
                            "unexpected decision of the admission queue: " + decision.kind());
        }
    }

    /** The reason to refuse the call whatever the load is, or null. */
    private RefusalReason refusalReason(TargetCall call) {
        if (tracker.current().isEmpty() || tracker.isAwaitingHistory()) {
            return RefusalReason.NO_UPSTREAM;
        }
        if (!tracker.current().get().service().value().equals(call.message.getService())) {
            return RefusalReason.STALE_INCARNATION;
        }
        if (loadReporter.isStopping() || tracker.isLeaving() || callbacks.isEvacuated()) {
            return RefusalReason.DRAINING;
        }
        if (tracker.isDown()) {
            return RefusalReason.UPSTREAM_UNREACHABLE;
        }
        if (!callbacks.isAllowedHere(call.message.getTenant())) {
            return RefusalReason.NOT_ALLOWED;
        }
        return callbacks.isQuarantined(call.fingerprint()) ? RefusalReason.QUARANTINED : null;
    }

    /** Starts queued calls as far as the upstream accepts them, and refuses expired ones. */
    void startQueuedCalls() {
        long now = timers.now();
        queue.setLimit(runner.concurrencyLimit());
        for (TargetCall expired : queue.removeExpired(now)) {
            openCalls.refuse(
                    expired,
                    RefusalReason.DEADLINE_TOO_SHORT,
                    queue.retryAfterMilliseconds(expired.deadlineAt, now));
        }
        boolean mayStart = queue.running() < queue.limit() && !isPaced(0);
        if (queue.waiting() == 0 || !mayStart || tracker.isDown()) {
            return;
        }
        if (slownessProbe.probeIfStale()) {
            return;
        }
        if (!slownessProbe.slowdownDetector().isInSlowdown(now)) {
            for (TargetCall next = queue.poll(now); next != null; next = queue.poll(now)) {
                runner.handOver(next);
            }
        }
    }

    private void scheduleQueueCheck() {
        if (queueCheckScheduled) {
            return;
        }
        queueCheckScheduled = true;
        timers.schedule(
                QUEUE_CHECK_INTERVAL_MILLISECONDS,
                () -> {
                    queueCheckScheduled = false;
                    startQueuedCalls();
                    if (queue.waiting() > 0) {
                        scheduleQueueCheck();
                    }
                });
    }
}
