package org.damaskmoor.relay.internal.target;

import com.google.protobuf.ByteString;
import io.netty.handler.codec.http.FullHttpRequest;
import java.util.concurrent.TimeUnit;
import org.damaskmoor.core.atmostonce.HandOverResult;
import org.damaskmoor.core.atmostonce.TargetLedger;
import org.damaskmoor.core.queueing.AdmissionQueue;
import org.damaskmoor.core.queueing.SlowdownDetector;
import org.damaskmoor.core.upstream.UpstreamAnnouncement;
import org.damaskmoor.core.upstream.UpstreamTracker;
import org.damaskmoor.relay.internal.time.Timers;
import org.damaskmoor.schema.link.ForwardedAnswer;
import org.damaskmoor.schema.mesh.RefusalReason;

/**
 * Hands calls over to the upstream and processes their outcomes.
 *
 * <p>Confined to the event loop. Invariants: a call is handed over only if the ledger permits it;
 * each call that was handed over is removed once from the running calls of the queue, and its entry
 * gets one outcome.
 */
final class CallRunner {
    /**
     * Time after the deadline of a call for which an answer is still awaited, because the upstream
     * may be about to send it.
     */
    private static final long ANSWER_GRACE_MILLISECONDS = 150;

    private static final int FIRST_SERVER_ERROR = 500;

    private final OpenCalls openCalls;
    private final AdmissionQueue<TargetCall> queue;
    private final TargetLedger ledger;
    private final UpstreamTracker tracker;
    private final UpstreamConnectionPool pool;
    private final SlownessProbe slownessProbe;
    private final UpstreamHealthMonitor healthMonitor;
    private final TargetReplySender replySender;
    private final TargetCallbacks callbacks;
    private final UpstreamNotices notices;
    private final Timers timers;
    private final Runnable startQueuedCalls;
    private final UpstreamConcurrencyLimit upstreamLimit = new UpstreamConcurrencyLimit();

    CallRunner(
            OpenCalls openCalls,
            AdmissionQueue<TargetCall> queue,
            TargetLedger ledger,
            UpstreamTracker tracker,
            UpstreamConnectionPool pool,
            SlownessProbe slownessProbe,
            UpstreamHealthMonitor healthMonitor,
            TargetReplySender replySender,
            TargetCallbacks callbacks,
            UpstreamNotices notices,
            Timers timers,
            Runnable startQueuedCalls) {
        this.openCalls = openCalls;
        this.queue = queue;
        this.ledger = ledger;
        this.tracker = tracker;
        this.pool = pool;
        this.slownessProbe = slownessProbe;
        this.healthMonitor = healthMonitor;
        this.replySender = replySender;
        this.callbacks = callbacks;
        this.notices = notices;
        this.timers = timers;
        this.startQueuedCalls = startQueuedCalls;
    }

    /** Calls that may currently run at once. */
    int concurrencyLimit() {
        int slots = tracker.current().map(UpstreamAnnouncement::slots).orElse(1);
        return upstreamLimit.limitFor(slots, timers.now());
    }

    /** Hands over a call that the admission queue has released. */
    void handOver(TargetCall call) {
        long now = timers.now();
        if (!tracker.mayDispatch(now)) {
            queue.onAbandoned();
            openCalls.refuse(call, RefusalReason.DRAINING, 0);
            return;
        }
        FullHttpRequest request;
        try {
            request = UpstreamRequestFactory.of(call.message, tracker.current().get().id());
        } catch (IllegalArgumentException invalid) {
            queue.onAbandoned();
            openCalls.refuse(call, RefusalReason.MALFORMED, 0);
            return;
        }
        if (ledger.handOver(call.id, TimeUnit.MILLISECONDS.toNanos(now)) != HandOverResult.RUN) {
            queue.onAbandoned();
            replySender.sendRefusal(call, RefusalReason.DEADLINE_PASSED, 0);
            openCalls.remove(call);
            return;
        }
        call.startedAt = now;
        call.reportListener = notices.listener();
        notices.onCallStarted();
        SlowdownDetector detector = slownessProbe.slowdownDetector();
        call.slownessAtStart = detector.hasReading() ? detector.lastReading() : 0;
        call.runningAtStart = queue.running();
        call.sent =
                pool.send(
                        call.message,
                        request,
                        call.deadlineAt,
                        outcome -> onOutcome(call, outcome));
        call.deadlineTimer =
                timers.schedule(
                        call.deadlineAt + ANSWER_GRACE_MILLISECONDS - now,
                        () -> onDeadlinePassed(call));
    }

    private void onOutcome(TargetCall call, UpstreamOutcome outcome) {
        long now = timers.now();
        call.deadlineTimer.cancel();
        if (outcome instanceof UpstreamOutcome.Answered answered) {
            onReport(call, answered.report());
            onAnswered(call, answered, now);
        } else if (outcome instanceof UpstreamOutcome.NotRun notRun) {
            onReport(call, notRun.report());
            onNotRun(call, notRun, now);
        } else if (outcome instanceof UpstreamOutcome.Failed failed) {
            onFailed(call, failed.detail());
            if (failed.connectionBroken()) {
                healthMonitor.onConnectionBroken();
            }
        }
        startQueuedCalls.run();
    }

    private void onReport(TargetCall call, UpstreamReport report) {
        report.load().ifPresent(slownessProbe::onLoad);
        call.reportListener.accept(report);
    }

    private void onAnswered(TargetCall call, UpstreamOutcome.Answered answered, long now) {
        long durationMilliseconds = now - call.startedAt;
        boolean failed = answered.status() >= FIRST_SERVER_ERROR;
        tracker.markUp();
        queue.onAnswered((double) durationMilliseconds);
        if (!failed) {
            upstreamLimit.onAnswered(call, durationMilliseconds);
        }
        callbacks.onAnswered(call.fingerprint());
        boolean failedBelow = failed && callbacks.failedSince(call.startedAt);
        ForwardedAnswer answer =
                replySender.buildAnswer(call, answered, durationMilliseconds, failedBelow);
        boolean keepAnswer = call.message.getNonIdempotent();
        ledger.answered(call.id, keepAnswer ? answer.toByteString() : ByteString.EMPTY);
        openCalls.remove(call);
        call.outcomeListener.onAnswered(answer);
    }

    private void onNotRun(TargetCall call, UpstreamOutcome.NotRun notRun, long now) {
        queue.onAbandoned();
        ledger.returned(call.id);
        switch (notRun.cause()) {
            case SHED -> {
                if (wasFull(notRun)) {
                    upstreamLimit.onShed(now);
                    queue.setLimit(concurrencyLimit());
                }
                openCalls.refuse(
                        call,
                        RefusalReason.OVERLOADED,
                        queue.retryAfterMilliseconds(call.deadlineAt, now));
            }
            case OTHER_UPSTREAM -> {
                healthMonitor.markDown("another upstream has the address");
                openCalls.refuse(call, RefusalReason.STALE_INCARNATION, 0);
            }
            default -> {
                healthMonitor.markDown("no connection");
                openCalls.refuse(call, RefusalReason.UPSTREAM_UNREACHABLE, 0);
            }
        }
    }

    /** An upstream that sheds calls although slots are free would shed fewer calls as well. */
    private static boolean wasFull(UpstreamOutcome.NotRun notRun) {
        return notRun.report()
                .load()
                .map(load -> load.waiting() > 0 || load.running() >= load.slots())
                .orElse(true);
    }

    private void onFailed(TargetCall call, String detail) {
        queue.onAbandoned();
        ledger.failed(call.id);
        openCalls.remove(call);
        replySender.sendFailure(call, detail);
        healthMonitor.onFailure(call.fingerprint());
    }

    /** Abandons a call that the upstream did not answer in time. */
    private void onDeadlinePassed(TargetCall call) {
        if (!openCalls.contains(call) || !call.isRunning()) {
            return;
        }
        call.sent.abandon();
        onFailed(call, "no answer before the deadline");
        startQueuedCalls.run();
    }
}
