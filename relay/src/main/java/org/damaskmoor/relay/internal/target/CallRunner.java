package org.damaskmoor.relay.internal.target;

import com.google.protobuf.ByteString;
import java.util.concurrent.TimeUnit;
import org.damaskmoor.core.atmostonce.HandOverResult;
import org.damaskmoor.core.atmostonce.TargetLedger;
import org.damaskmoor.core.queueing.AdmissionQueue;
import org.damaskmoor.core.queueing.SlowdownDetector;
import org.damaskmoor.core.upstream.UpstreamAnnouncement;
import org.damaskmoor.core.upstream.UpstreamId;
import org.damaskmoor.core.upstream.UpstreamTracker;
import org.damaskmoor.relay.internal.time.Timers;
import org.damaskmoor.schema.link.ForwardedAnswer;
import org.damaskmoor.schema.mesh.RefusalReason;

/**
 * Hands calls to the upstream and takes their outcomes.
 *
 * <p>Confined to the event loop. Invariants: only what the ledger permits is handed over; each call
 * that was handed over leaves the room once, and is told one outcome.
 */
final class CallRunner {
    /** How long after its deadline an upstream may still be about to answer. */
    private static final long ANSWER_GRACE_MILLISECONDS = 150;

    private static final int FIRST_SERVER_ERROR = 500;

    private final OpenCalls open;
    private final AdmissionQueue<TargetCall> room;
    private final TargetLedger ledger;
    private final UpstreamTracker register;
    private final UpstreamConnectionPool pool;
    private final SlownessProbe speed;
    private final UpstreamHealthMonitor watch;
    private final TargetReplySender replies;
    private final TargetCallbacks events;
    private final Timers timers;
    private final Runnable startNext;
    private final UpstreamConcurrencyLimit limit = new UpstreamConcurrencyLimit();

    CallRunner(
            OpenCalls open,
            AdmissionQueue<TargetCall> room,
            TargetLedger ledger,
            UpstreamTracker register,
            UpstreamConnectionPool pool,
            SlownessProbe speed,
            UpstreamHealthMonitor watch,
            TargetReplySender replies,
            TargetCallbacks events,
            Timers timers,
            Runnable startNext) {
        this.open = open;
        this.room = room;
        this.ledger = ledger;
        this.register = register;
        this.pool = pool;
        this.speed = speed;
        this.watch = watch;
        this.replies = replies;
        this.events = events;
        this.timers = timers;
        this.startNext = startNext;
    }

    /** How many calls may run at once now. */
    int concurrencyLimit() {
        int slots = register.current().map(UpstreamAnnouncement::slots).orElse(1);
        return limit.limitFor(slots, timers.now());
    }

    /** Hands over a call that the room has let go. */
    void handOver(TargetCall call) {
        long now = timers.now();
        if (!register.mayDispatch(now)) {
            room.onAbandoned();
            open.refuse(call, RefusalReason.DRAINING, 0);
            return;
        }
        if (ledger.handOver(call.id, TimeUnit.MILLISECONDS.toNanos(now)) != HandOverResult.RUN) {
            room.onAbandoned();
            replies.sendRefusal(call, RefusalReason.DEADLINE_PASSED, 0);
            open.remove(call);
            return;
        }
        call.startedAt = now;
        SlowdownDetector slowness = speed.slowdownDetector();
        call.slownessAtStart = slowness.hasReading() ? slowness.lastReading() : 0;
        call.runningAtStart = room.running();
        UpstreamId upstream = register.current().get().id();
        call.sent =
                pool.send(
                        call.call, upstream, call.deadlineAt, outcome -> onOutcome(call, outcome));
        call.deadlineTimer =
                timers.schedule(
                        call.deadlineAt + ANSWER_GRACE_MILLISECONDS - now,
                        () -> onDeadlinePassed(call));
    }

    private void onOutcome(TargetCall call, UpstreamOutcome outcome) {
        long now = timers.now();
        call.deadlineTimer.cancel();
        if (outcome instanceof UpstreamOutcome.Answered answered) {
            answered.load().ifPresent(speed::onLoad);
            onAnswered(call, answered, now);
        } else if (outcome instanceof UpstreamOutcome.NotRun notRun) {
            notRun.load().ifPresent(speed::onLoad);
            onNotRun(call, notRun, now);
        } else if (outcome instanceof UpstreamOutcome.Failed failed) {
            onFailed(call, failed.detail());
        }
        startNext.run();
    }

    private void onAnswered(TargetCall call, UpstreamOutcome.Answered answered, long now) {
        long took = now - call.startedAt;
        boolean failed = answered.status() >= FIRST_SERVER_ERROR;
        register.markUp();
        room.onAnswered((double) took);
        if (!failed) {
            limit.onAnswered(call, took);
        }
        events.onAnswered(call.fingerprint());
        boolean failedBelow = failed && events.failedSince(call.startedAt);
        ForwardedAnswer answer = replies.buildAnswer(call, answered, took, failedBelow);
        boolean kept = call.call.getNonIdempotent();
        ledger.answered(call.id, kept ? answer.toByteString() : ByteString.EMPTY);
        open.remove(call);
        call.outcomes.onAnswered(answer);
    }

    private void onNotRun(TargetCall call, UpstreamOutcome.NotRun notRun, long now) {
        room.onAbandoned();
        ledger.returned(call.id);
        switch (notRun.cause()) {
            case SHED -> {
                limit.onShed(now);
                room.setLimit(concurrencyLimit());
                open.refuse(call, RefusalReason.OVERLOADED, room.retryAfterMilliseconds());
            }
            case OTHER_UPSTREAM -> {
                watch.markDown("another upstream has the address");
                open.refuse(call, RefusalReason.STALE_INCARNATION, 0);
            }
            default -> {
                watch.markDown("no connection");
                open.refuse(call, RefusalReason.UPSTREAM_UNREACHABLE, 0);
            }
        }
    }

    private void onFailed(TargetCall call, String detail) {
        room.onAbandoned();
        ledger.failed(call.id);
        open.remove(call);
        replies.sendFailure(call, detail);
        watch.onFailure(call.fingerprint());
    }

    /** The upstream has not answered in time: it is not waited for any longer. */
    private void onDeadlinePassed(TargetCall call) {
        if (!open.contains(call) || !call.isRunning()) {
            return;
        }
        call.sent.abandon();
        onFailed(call, "no answer before the deadline");
        startNext.run();
    }
}
