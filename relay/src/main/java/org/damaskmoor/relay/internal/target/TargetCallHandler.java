package org.damaskmoor.relay.internal.target;

import com.google.protobuf.ByteString;
import io.netty.channel.EventLoop;
import java.net.InetSocketAddress;
import java.util.Collection;
import java.util.List;
import java.util.OptionalLong;
import java.util.concurrent.TimeUnit;
import org.damaskmoor.core.atmostonce.AcceptanceResult;
import org.damaskmoor.core.atmostonce.CallKey;
import org.damaskmoor.core.atmostonce.TargetLedger;
import org.damaskmoor.core.id.Incarnation;
import org.damaskmoor.core.id.RequestId;
import org.damaskmoor.core.quarantine.RequestFingerprint;
import org.damaskmoor.core.queueing.AdmissionQueue;
import org.damaskmoor.core.queueing.QueueDecision;
import org.damaskmoor.core.queueing.SlowdownDetector;
import org.damaskmoor.core.upstream.UpstreamAnnouncement;
import org.damaskmoor.core.upstream.UpstreamId;
import org.damaskmoor.core.upstream.UpstreamTracker;
import org.damaskmoor.core.upstream.UpstreamTracker.Change;
import org.damaskmoor.relay.internal.link.CallOutcomeListener;
import org.damaskmoor.relay.internal.link.EntryId;
import org.damaskmoor.relay.internal.log.EventLog;
import org.damaskmoor.relay.internal.time.Timers;
import org.damaskmoor.schema.link.CallCancel;
import org.damaskmoor.schema.link.CallSeal;
import org.damaskmoor.schema.link.CallSealed;
import org.damaskmoor.schema.link.ForwardedCall;
import org.damaskmoor.schema.link.TargetLoad;
import org.damaskmoor.schema.mesh.RefusalReason;
import org.damaskmoor.schema.mesh.SealState;

/**
 * The target's side of calls: decides on each with the load of this instant and hands it to the
 * upstream, to which it is the only way.
 *
 * <p>Confined to the event loop. Invariants: a call ends in one of answer, refusal and failure; a
 * refused call was not run by the upstream and never will be; no call is handed over after the
 * drain time of an upstream that said that it leaves.
 */
public final class TargetCallHandler {
    /** How long an ended call is remembered: longer than any link takes to be found lost. */
    private static final long REMEMBERED_MILLISECONDS = 30_000;

    /** How often waiting calls are looked at while there are any. */
    private static final long LOOK_MILLISECONDS = 20;

    private static final double PERCENT = 100;

    private final Incarnation incarnation;
    private final UpstreamTracker register;
    private final TargetLedger ledger;
    private final Timers timers;
    private final EventLog log;
    private final TargetCallbacks events;
    private final SlownessProbe speed;
    private final CallRunner runner;
    private final TargetLoadReporter gauge;
    private final TargetReplySender replies;
    private final AdmissionQueue<TargetCall> room = new AdmissionQueue<>();
    private final OpenCalls open;
    private boolean looking;

    public TargetCallHandler(
            Incarnation incarnation,
            UpstreamTracker register,
            TargetLedger ledger,
            EventLoop loop,
            InetSocketAddress upstream,
            Timers timers,
            EventLog log,
            TargetCallbacks events,
            double checksPerSecond) {
        this.incarnation = incarnation;
        this.register = register;
        this.ledger = ledger;
        this.timers = timers;
        this.log = log;
        this.events = events;
        this.gauge = new TargetLoadReporter(register, room);
        this.replies = new TargetReplySender(timers, log, this::load);
        this.open = new OpenCalls(ledger, replies);
        UpstreamConnectionPool pool = new UpstreamConnectionPool(loop, upstream, timers);
        this.speed =
                new SlownessProbe(
                        pool,
                        new TokenBucket(checksPerSecond),
                        events,
                        timers,
                        this::offer,
                        this::startNext);
        this.runner =
                new CallRunner(
                        open,
                        room,
                        ledger,
                        register,
                        pool,
                        speed,
                        new UpstreamHealthMonitor(register, pool, timers, log, new Watched()),
                        replies,
                        events,
                        timers,
                        this::startNext);
    }

    /** The upstream announced itself. */
    public void onAnnouncement(UpstreamAnnouncement announcement) {
        long now = timers.now();
        Change change = register.onAnnouncement(announcement, now);
        room.setLimit(runner.concurrencyLimit());
        if (change != Change.NONE) {
            log.event(change == Change.LEAVING ? "upstream-leaving" : "upstream-appeared")
                    .with("upstream", announcement.id())
                    .with("service", announcement.service())
                    .with("born", announcement.bornEpochMilliseconds())
                    .with("slots", announcement.slots())
                    .with("sequence", announcement.sequence())
                    .write();
            events.onUpstreamChanged();
        }
        if (change == Change.APPEARED) {
            speed.probe();
        }
    }

    /** The upstream said that it goes. */
    public void onDeregistration(UpstreamId id, OptionalLong born) {
        if (register.onLeave(id, born, timers.now()) != Change.NONE) {
            log.event("upstream-leaving").with("upstream", id).with("step", "deregister").write();
            events.onUpstreamChanged();
        }
    }

    /** Takes no new call from now on. */
    public void stopAccepting() {
        gauge.markStopping();
        events.onUpstreamChanged();
    }

    /** Forgets what has ended long ago. Call it every second or so. */
    public void expireLedger() {
        ledger.expire(nanoseconds(timers.now()));
    }

    /** The upstream's present incarnation and what is known of it. */
    public UpstreamTracker upstreamTracker() {
        return register;
    }

    /** Whether nothing waits and nothing runs. */
    public boolean isIdle() {
        return open.isEmpty();
    }

    /** Takes a call. */
    public void onCall(EntryId entry, ForwardedCall call, CallOutcomeListener outcomes) {
        long now = timers.now();
        RequestId id = requestId(entry, call.getSequence());
        TargetCall taken = new TargetCall(id, call, outcomes, now);
        AcceptanceResult acceptance =
                ledger.accept(
                                CallKey.of(id),
                                incarnation,
                                nanoseconds(taken.deadlineAt),
                                nanoseconds(taken.deadlineAt + REMEMBERED_MILLISECONDS),
                                nanoseconds(now))
                        .result();
        switch (acceptance) {
            case ACCEPTED -> admit(taken);
            case FULL -> replies.sendRefusal(taken, RefusalReason.NODE_BUSY, 0);
            case DEADLINE_PASSED -> replies.sendRefusal(taken, RefusalReason.DEADLINE_PASSED, 0);
            case SEALED_ALREADY ->
                    replies.sendRefusal(taken, RefusalReason.SEALED_AFTER_SILENCE, 0);
            default -> replies.sendFailure(taken, "the call came twice");
        }
    }

    private void admit(TargetCall call) {
        open.add(call);
        if (register.isDown() || !speed.deferUntilProbed(call)) {
            offer(call);
        }
    }

    private void offer(TargetCall call) {
        if (!open.contains(call)) {
            return;
        }
        long now = timers.now();
        SlowdownDetector slowness = speed.slowdownDetector();
        RefusalReason unservable = unservable(call);
        if (unservable != null) {
            open.refuse(call, unservable, 0);
            return;
        }
        boolean fresh = slowness.isFresh(now);
        double expected = call.call.getExpectedSlownessPercent() / PERCENT;
        double delay =
                fresh
                        ? slowness.delayMilliseconds(
                                call.call.getUsualMilliseconds(), expected, now)
                        : 0;
        boolean mayStart = !(fresh && slowness.isInSlowdown(now));
        QueueDecision verdict = room.offer(call.toWaitingCall(), delay, mayStart, now);
        room.drainDisplaced()
                .forEach(
                        displaced ->
                                open.refuse(
                                        displaced,
                                        RefusalReason.OVERLOADED,
                                        room.retryAfterMilliseconds()));
        switch (verdict.kind()) {
            case START -> runner.handOver(call);
            case WAIT -> look();
            case SEND_BACK ->
                    open.refuse(call, RefusalReason.QUEUE_FULL, verdict.retryAfterMilliseconds());
            default -> throw new IllegalStateException("unexpected " + verdict.kind());
        }
    }

    /** Why no call like this is taken now, or null. */
    private RefusalReason unservable(TargetCall call) {
        if (register.current().isEmpty()) {
            return RefusalReason.NO_UPSTREAM;
        }
        if (!register.current().get().service().value().equals(call.call.getService())) {
            return RefusalReason.STALE_INCARNATION;
        }
        if (gauge.isStopping() || register.isLeaving()) {
            return RefusalReason.DRAINING;
        }
        if (register.isDown()) {
            return RefusalReason.UPSTREAM_UNREACHABLE;
        }
        return events.isQuarantined(call.fingerprint()) ? RefusalReason.QUARANTINED : null;
    }

    private void startNext() {
        long now = timers.now();
        room.setLimit(runner.concurrencyLimit());
        for (TargetCall hopeless : room.removeExpired(now)) {
            open.refuse(hopeless, RefusalReason.DEADLINE_TOO_SHORT, room.retryAfterMilliseconds());
        }
        if (room.waiting() == 0 || room.running() >= room.limit() || register.isDown()) {
            return;
        }
        if (speed.probeIfStale()) {
            return;
        }
        if (!speed.slowdownDetector().isInSlowdown(now)) {
            for (TargetCall next = room.poll(now); next != null; next = room.poll(now)) {
                runner.handOver(next);
            }
        }
    }

    private void look() {
        if (looking) {
            return;
        }
        looking = true;
        timers.schedule(
                LOOK_MILLISECONDS,
                () -> {
                    looking = false;
                    startNext();
                    if (room.waiting() > 0) {
                        look();
                    }
                });
    }

    /** A call that was lost on its way is stopped for good, or its outcome follows. */
    public void onSeal(EntryId entry, CallSeal seal, CallOutcomeListener outcomes) {
        long now = timers.now();
        RequestId id = requestId(entry, seal.getSequence());
        SealState state = SealState.OTHER_INCARNATION;
        if (seal.getTargetIncarnation() == incarnation.value()) {
            long keepUntil = nanoseconds(now + REMEMBERED_MILLISECONDS);
            state = ledger.seal(id, incarnation, keepUntil, nanoseconds(now));
        }
        TargetCall call = open.get(id);
        if (state == SealState.SEALED && call != null) {
            room.remove(call);
            speed.remove(call);
            open.remove(call);
        } else if (call != null) {
            call.outcomes = outcomes;
        }
        outcomes.onSealed(
                CallSealed.newBuilder()
                        .setSequence(seal.getSequence())
                        .setAttempt(seal.getAttempt())
                        .setState(state)
                        .build());
        log.event("call-sealed").with("request", id).with("state", state).write();
        if (call == null && state != SealState.SEALED) {
            replies.sendRememberedOutcome(
                    seal, ledger.answer(id).orElse(ByteString.EMPTY), outcomes);
        }
    }

    /** The entry no longer waits: what may be repeated is stopped, what may not goes on. */
    public void onCancel(EntryId entry, CallCancel cancel) {
        TargetCall call = open.get(requestId(entry, cancel.getSequence()));
        if (call != null) {
            stopCall(call);
        }
    }

    /** A link ended: nobody hears the outcomes of its calls any more. */
    public void onLinkClosed(CallOutcomeListener outcomes) {
        for (TargetCall call : open.all()) {
            if (call.outcomes == outcomes && !call.call.getNonIdempotent()) {
                stopCall(call);
            }
        }
    }

    private void stopCall(TargetCall call) {
        if (!call.isRunning()) {
            room.remove(call);
            speed.remove(call);
            ledger.refuse(call.id);
            open.remove(call);
        } else if (!call.call.getNonIdempotent()) {
            call.deadlineTimer.cancel();
            call.sent.abandon();
            room.onAbandoned();
            ledger.failed(call.id);
            open.remove(call);
            startNext();
        }
    }

    /** What the upstream's load is at this instant. */
    public TargetLoad load() {
        return gauge.load(speed.slowdownDetector(), timers.now());
    }

    private final class Watched implements UpstreamHealthMonitor.Listener {
        @Override
        public Collection<RequestFingerprint> running() {
            return open.runningRequests();
        }

        @Override
        public void onDown(List<RequestFingerprint> suspects) {
            for (TargetCall waiting : room.drainAll()) {
                open.refuse(waiting, RefusalReason.UPSTREAM_UNREACHABLE, 0);
            }
            events.onUpstreamCrashed(suspects);
            events.onUpstreamChanged();
        }

        @Override
        public void onUp() {
            events.onUpstreamChanged();
            startNext();
        }
    }

    private static RequestId requestId(EntryId entry, long sequence) {
        return new RequestId(entry.node(), entry.incarnation(), sequence);
    }

    private static long nanoseconds(long milliseconds) {
        return TimeUnit.MILLISECONDS.toNanos(milliseconds);
    }
}
