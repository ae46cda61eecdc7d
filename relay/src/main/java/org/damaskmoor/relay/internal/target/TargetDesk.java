package org.damaskmoor.relay.internal.target;

import com.google.protobuf.ByteString;
import com.google.protobuf.InvalidProtocolBufferException;
import io.netty.channel.EventLoop;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.concurrent.TimeUnit;
import org.damaskmoor.core.id.Incarnation;
import org.damaskmoor.core.id.RequestId;
import org.damaskmoor.core.once.AcceptanceResult;
import org.damaskmoor.core.once.CallKey;
import org.damaskmoor.core.once.HandOverResult;
import org.damaskmoor.core.once.TargetLedger;
import org.damaskmoor.core.quarantine.RequestFingerprint;
import org.damaskmoor.core.upstream.UpstreamAnnouncement;
import org.damaskmoor.core.upstream.UpstreamId;
import org.damaskmoor.core.upstream.UpstreamLoad;
import org.damaskmoor.core.upstream.UpstreamRegister;
import org.damaskmoor.core.upstream.UpstreamRegister.Change;
import org.damaskmoor.core.waiting.CrowdingCurve;
import org.damaskmoor.core.waiting.SlowMoments;
import org.damaskmoor.core.waiting.Verdict;
import org.damaskmoor.core.waiting.WaitingRoom;
import org.damaskmoor.relay.internal.link.CallOutcomes;
import org.damaskmoor.relay.internal.link.EntryName;
import org.damaskmoor.relay.internal.log.EventLog;
import org.damaskmoor.relay.internal.time.Timers;
import org.damaskmoor.schema.link.CallCancel;
import org.damaskmoor.schema.link.CallSeal;
import org.damaskmoor.schema.link.CallSealed;
import org.damaskmoor.schema.link.ForwardedAnswer;
import org.damaskmoor.schema.link.ForwardedCall;
import org.damaskmoor.schema.link.ForwardedFailure;
import org.damaskmoor.schema.link.ForwardedRefusal;
import org.damaskmoor.schema.link.TargetLoad;
import org.damaskmoor.schema.mesh.RefusalReason;
import org.damaskmoor.schema.mesh.SealState;
import org.damaskmoor.schema.mesh.UpstreamState;

/**
 * The target's side of calls: decides on each with the load of this instant and hands it to the
 * upstream, to which it is the only way.
 *
 * <p>Confined to the event loop. Invariants: a call ends in one of answer, refusal and failure; a
 * refused call was not run by the upstream and never will be; no call is handed over after the
 * drain time of an upstream that said that it leaves.
 */
public final class TargetDesk {
    /** How long an ended call is remembered: longer than any link takes to be found lost. */
    private static final long REMEMBERED_MILLISECONDS = 30_000;

    /** How long after its deadline an upstream may still be about to answer. */
    private static final long ANSWER_GRACE_MILLISECONDS = 150;

    /** How often waiting calls are looked at while there are any. */
    private static final long LOOK_MILLISECONDS = 20;

    /** How often an upstream that does not answer is tried. */
    private static final long PROBE_MILLISECONDS = 300;

    /** Time after which a shed call lets one more run again. */
    private static final long SHED_MEMORY_MILLISECONDS = 1000;

    private static final int FIRST_SERVER_ERROR = 500;
    private static final double PERCENT = 100;
    private static final double PER_THOUSAND = 1000;

    private final Incarnation incarnation;
    private final UpstreamRegister register;
    private final TargetLedger ledger;
    private final UpstreamPool pool;
    private final Timers timers;
    private final EventLog log;
    private final TargetEvents events;
    private final RateBound checks;
    private final WaitingRoom<TargetCall> room = new WaitingRoom<>();
    private final Map<RequestId, TargetCall> open = new HashMap<>();
    private final SlowMoments slowness = new SlowMoments();
    private final List<TargetCall> unsure = new ArrayList<>();
    private final FailureGauge failures = new FailureGauge();
    private final CrowdingCurve crowding = new CrowdingCurve();
    private final RecentFailures recentFailures = new RecentFailures();
    private boolean looking;
    private boolean probing;
    private boolean checking;
    private boolean stopping;
    private int shed;
    private long shedAt;

    public TargetDesk(
            Incarnation incarnation,
            UpstreamRegister register,
            TargetLedger ledger,
            EventLoop loop,
            InetSocketAddress upstream,
            Timers timers,
            EventLog log,
            TargetEvents events,
            double checksPerSecond) {
        this.checks = new RateBound(checksPerSecond);
        this.incarnation = incarnation;
        this.register = register;
        this.ledger = ledger;
        this.pool = new UpstreamPool(loop, upstream, timers);
        this.timers = timers;
        this.log = log;
        this.events = events;
    }

    /** The upstream announced itself. */
    public void announce(UpstreamAnnouncement announcement) {
        long now = timers.now();
        Change change = register.announce(announcement, now);
        room.limit(limit(now));
        if (change != Change.NONE) {
            log.event(change == Change.LEAVING ? "upstream-leaving" : "upstream-appeared")
                    .with("upstream", announcement.id())
                    .with("service", announcement.service())
                    .with("born", announcement.bornEpochMilliseconds())
                    .with("slots", announcement.slots())
                    .with("sequence", announcement.sequence())
                    .write();
            events.upstreamChanged();
        }
        if (change == Change.APPEARED) {
            checkSpeed();
        }
    }

    /** The upstream said that it goes. */
    public void leave(UpstreamId id, OptionalLong born) {
        if (register.leave(id, born, timers.now()) != Change.NONE) {
            log.event("upstream-leaving").with("upstream", id).with("step", "deregister").write();
            events.upstreamChanged();
        }
    }

    /** Takes no new call from now on. */
    public void stop() {
        stopping = true;
        events.upstreamChanged();
    }

    /** Forgets what has ended long ago. Call it every second or so. */
    public void tick() {
        ledger.expire(nanoseconds(timers.now()));
    }

    /** The upstream's present lifetime and what is known of it. */
    public UpstreamRegister register() {
        return register;
    }

    /** Whether nothing waits and nothing runs. */
    public boolean isIdle() {
        return open.isEmpty();
    }

    /** Takes a call. */
    public void call(EntryName entry, ForwardedCall call, CallOutcomes outcomes) {
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
            case ACCEPTED -> admit(taken, now);
            case FULL -> tellRefusal(taken, RefusalReason.NODE_BUSY, 0);
            case DEADLINE_PASSED -> tellRefusal(taken, RefusalReason.DEADLINE_PASSED, 0);
            case SEALED_ALREADY -> tellRefusal(taken, RefusalReason.SEALED_AFTER_SILENCE, 0);
            default -> tellFailure(taken, "the call came twice");
        }
    }

    private void admit(TargetCall call, long now) {
        open.put(call.id, call);
        if (slowness.isKnown() && !slowness.isFresh(now) && checkSpeed()) {
            unsure.add(call);
        } else {
            offer(call, now);
        }
    }

    /** Asks how fast the VM is at this instant; false when that can't be asked now. */
    private boolean checkSpeed() {
        if (checking) {
            return true;
        }
        String path = events.statusPath();
        long now = timers.now();
        if (path.isEmpty() || register.isDown() || !checks.tryTake(now)) {
            return false;
        }
        checking = true;
        pool.check(path, load -> onSpeed(load));
        return true;
    }

    private void onSpeed(Optional<UpstreamLoad> load) {
        checking = false;
        long now = timers.now();
        load.ifPresent(told -> hear(told, now));
        List<TargetCall> waited = List.copyOf(unsure);
        unsure.clear();
        for (TargetCall call : waited) {
            if (open.get(call.id) == call) {
                offer(call, now);
            }
        }
        startNext();
    }

    private void hear(UpstreamLoad load, long now) {
        if (load.slowness() > 0) {
            slowness.hear(load.slowness(), now);
        }
    }

    private void offer(TargetCall call, long now) {
        RefusalReason unservable = unservable(call);
        if (unservable != null) {
            refuse(call, unservable, 0);
            return;
        }
        boolean fresh = slowness.isFresh(now);
        double expected = call.call.getExpectedSlownessPercent() / PERCENT;
        double delay =
                fresh
                        ? slowness.delayMilliseconds(
                                call.call.getUsualMilliseconds(), expected, now)
                        : 0;
        boolean mayStart = !(fresh && slowness.isSlow(now));
        Verdict verdict = room.offer(call.waiting(), delay, mayStart, now);
        room.takeDisplaced()
                .forEach(
                        displaced ->
                                refuse(
                                        displaced,
                                        RefusalReason.OVERLOADED,
                                        room.retryAfterMilliseconds()));
        switch (verdict.kind()) {
            case START -> handOver(call);
            case WAIT -> look();
            case SEND_BACK ->
                    refuse(call, RefusalReason.QUEUE_FULL, verdict.retryAfterMilliseconds());
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
        if (stopping || register.isLeaving()) {
            return RefusalReason.DRAINING;
        }
        if (register.isDown()) {
            return RefusalReason.UPSTREAM_UNREACHABLE;
        }
        return events.isQuarantined(call.fingerprint()) ? RefusalReason.QUARANTINED : null;
    }

    private void handOver(TargetCall call) {
        long now = timers.now();
        if (!register.mayRun(now)) {
            room.abandoned();
            refuse(call, RefusalReason.DRAINING, 0);
            return;
        }
        if (ledger.handOver(call.id, nanoseconds(now)) != HandOverResult.RUN) {
            room.abandoned();
            tellRefusal(call, RefusalReason.DEADLINE_PASSED, 0);
            open.remove(call.id);
            return;
        }
        call.startedAt = now;
        call.slownessAtStart = slowness.isKnown() ? slowness.last() : 0;
        call.runningAtStart = room.running();
        UpstreamId upstream = register.current().get().id();
        call.sent =
                pool.send(
                        call.call, upstream, call.deadlineAt, outcome -> onOutcome(call, outcome));
        call.deadlineTimer =
                timers.after(
                        call.deadlineAt + ANSWER_GRACE_MILLISECONDS - now,
                        () -> onDeadlinePassed(call));
    }

    private void onOutcome(TargetCall call, UpstreamOutcome outcome) {
        long now = timers.now();
        call.deadlineTimer.cancel();
        if (outcome instanceof UpstreamOutcome.Answered answered) {
            answered.load().ifPresent(load -> hear(load, now));
            onAnswered(call, answered, now);
        } else if (outcome instanceof UpstreamOutcome.NotRun notRun) {
            notRun.load().ifPresent(load -> hear(load, now));
            onNotRun(call, notRun, now);
        } else if (outcome instanceof UpstreamOutcome.Failed failed) {
            onFailed(call, failed.detail(), now);
        }
        startNext();
    }

    private void onAnswered(TargetCall call, UpstreamOutcome.Answered answered, long now) {
        long took = now - call.startedAt;
        boolean failed = answered.status() >= FIRST_SERVER_ERROR;
        failures.add(failed, now);
        register.up();
        room.ended((double) took);
        if (!failed && call.call.getUsualMilliseconds() > 0 && call.slownessAtStart > 0) {
            double usual = call.call.getUsualMilliseconds() * call.slownessAtStart;
            crowding.answered(call.runningAtStart, took / usual);
        }
        events.answered(call.fingerprint());
        log.event("call-answered")
                .with("request", call.call.getCallerRequestId())
                .with("status", answered.status())
                .with("waited_ms", call.startedAt - call.arrivedAt)
                .with("took_ms", took)
                .with("usual_ms", call.call.getUsualMilliseconds())
                .with("slowness", Math.round(call.slownessAtStart * PERCENT))
                .with("slowness_after", Math.round(slowness.last() * PERCENT))
                .with("running", call.runningAtStart)
                .write();
        ForwardedAnswer answer =
                ForwardedAnswer.newBuilder()
                        .setSequence(call.call.getSequence())
                        .setAttempt(call.call.getAttempt())
                        .setStatus(answered.status())
                        .addAllHeaders(answered.headers())
                        .setBody(answered.body())
                        .setUpstreamMilliseconds((int) took)
                        .setSlownessPercent((int) Math.round(call.slownessAtStart * PERCENT))
                        .setFailedBelow(failed && events.failedSince(call.startedAt))
                        .setLoad(load())
                        .build();
        boolean kept = call.call.getNonIdempotent();
        ledger.answered(call.id, kept ? answer.toByteString() : ByteString.EMPTY);
        open.remove(call.id);
        call.outcomes.answered(answer);
    }

    private void onNotRun(TargetCall call, UpstreamOutcome.NotRun notRun, long now) {
        room.abandoned();
        ledger.returned(call.id);
        switch (notRun.cause()) {
            case SHED -> {
                shed++;
                shedAt = now;
                room.limit(limit(now));
                refuse(call, RefusalReason.OVERLOADED, room.retryAfterMilliseconds());
            }
            case OTHER_UPSTREAM -> {
                upstreamDown("another upstream has the address");
                refuse(call, RefusalReason.STALE_INCARNATION, 0);
            }
            default -> {
                upstreamDown("no connection");
                refuse(call, RefusalReason.UPSTREAM_UNREACHABLE, 0);
            }
        }
    }

    private void onFailed(TargetCall call, String detail, long now) {
        room.abandoned();
        failures.add(true, now);
        ledger.failed(call.id);
        open.remove(call.id);
        log.event("call-failed")
                .with("request", call.call.getCallerRequestId())
                .with("step", "upstream")
                .with("waited_ms", call.startedAt - call.arrivedAt)
                .with("ran_ms", now - call.startedAt)
                .with("detail", detail)
                .write();
        recentFailures.add(call.fingerprint(), now);
        tellFailure(call, detail);
        probeSoon();
    }

    /** The upstream has not answered in time: it is not waited for any longer. */
    private void onDeadlinePassed(TargetCall call) {
        if (open.get(call.id) != call || !call.isRunning()) {
            return;
        }
        call.sent.abandon();
        onFailed(call, "no answer before the deadline", timers.now());
        startNext();
    }

    private void startNext() {
        long now = timers.now();
        room.limit(limit(now));
        for (TargetCall hopeless : room.hopeless(now)) {
            refuse(hopeless, RefusalReason.DEADLINE_TOO_SHORT, room.retryAfterMilliseconds());
        }
        if (room.waiting() == 0 || room.running() >= room.limit() || register.isDown()) {
            return;
        }
        if (slowness.isKnown() && !slowness.isFresh(now) && checkSpeed()) {
            return;
        }
        if (!slowness.isSlow(now)) {
            for (TargetCall next = room.next(now); next != null; next = room.next(now)) {
                handOver(next);
            }
        }
    }

    private void look() {
        if (looking) {
            return;
        }
        looking = true;
        timers.after(
                LOOK_MILLISECONDS,
                () -> {
                    looking = false;
                    startNext();
                    if (room.waiting() > 0) {
                        look();
                    }
                });
    }

    private int limit(long now) {
        int slots = register.current().map(UpstreamAnnouncement::slots).orElse(1);
        if (shed > 0 && now - shedAt >= SHED_MEMORY_MILLISECONDS) {
            shed--;
            shedAt = now;
        }
        int best = crowding.best(slots);
        return Math.max(1, best - Math.min(shed, slots / 2));
    }

    /** A call that was lost on its way is stopped for good, or its outcome follows. */
    public void seal(EntryName entry, CallSeal seal, CallOutcomes outcomes) {
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
            unsure.remove(call);
            open.remove(id);
        } else if (call != null) {
            call.outcomes = outcomes;
        }
        outcomes.sealed(
                CallSealed.newBuilder()
                        .setSequence(seal.getSequence())
                        .setAttempt(seal.getAttempt())
                        .setState(state)
                        .build());
        log.event("call-sealed").with("request", id).with("state", state).write();
        if (call == null && state != SealState.SEALED) {
            tellKnown(seal, id, outcomes);
        }
    }

    /** The call has ended: its outcome is told again, as far as it is kept. */
    private void tellKnown(CallSeal seal, RequestId id, CallOutcomes outcomes) {
        ByteString kept = ledger.answer(id).orElse(ByteString.EMPTY);
        if (!kept.isEmpty()) {
            try {
                outcomes.answered(ForwardedAnswer.parseFrom(kept));
                return;
            } catch (InvalidProtocolBufferException unreadable) {
                log.event("kept-answer-unreadable").with("request", id).write();
            }
        }
        outcomes.failed(
                ForwardedFailure.newBuilder()
                        .setSequence(seal.getSequence())
                        .setAttempt(seal.getAttempt())
                        .setDetail("the outcome is not known any more")
                        .build());
    }

    /** The entry no longer waits: what may be repeated is stopped, what may not goes on. */
    public void cancel(EntryName entry, CallCancel cancel) {
        TargetCall call = open.get(requestId(entry, cancel.getSequence()));
        if (call != null) {
            stopCall(call);
        }
    }

    /** A link ended: nobody hears the outcomes of its calls any more. */
    public void ended(CallOutcomes outcomes) {
        for (TargetCall call : new ArrayList<>(open.values())) {
            if (call.outcomes == outcomes && !call.call.getNonIdempotent()) {
                stopCall(call);
            }
        }
    }

    private void stopCall(TargetCall call) {
        if (!call.isRunning()) {
            room.remove(call);
            unsure.remove(call);
            ledger.refuse(call.id);
            open.remove(call.id);
        } else if (!call.call.getNonIdempotent()) {
            call.deadlineTimer.cancel();
            call.sent.abandon();
            room.abandoned();
            ledger.failed(call.id);
            open.remove(call.id);
            startNext();
        }
    }

    /** What the upstream's load is at this instant. */
    public TargetLoad load() {
        long now = timers.now();
        TargetLoad.Builder load =
                TargetLoad.newBuilder()
                        .setRunning(room.running())
                        .setWaiting(room.waiting())
                        .setLimit(room.limit())
                        .setFailuresPerThousand((int) (failures.at(now) * PER_THOUSAND))
                        .setState(state());
        if (slowness.isKnown()) {
            load.setSlownessPercent((int) Math.round(slowness.last() * PERCENT))
                    .setSteadySlownessPercent((int) Math.round(slowness.steady() * PERCENT))
                    .setSlownessAgeMilliseconds(
                            (int) Math.min(Integer.MAX_VALUE, slowness.age(now)));
        }
        return load.build();
    }

    private UpstreamState state() {
        if (register.current().isEmpty() || register.isDown()) {
            return UpstreamState.ABSENT;
        }
        return stopping || register.isLeaving() ? UpstreamState.LEAVING : UpstreamState.SERVING;
    }

    private void upstreamDown(String reason) {
        if (register.isDown()) {
            return;
        }
        register.down();
        log.event("upstream-down").with("reason", reason).with("open", open.size()).write();
        for (TargetCall waiting : room.takeAll()) {
            refuse(waiting, RefusalReason.UPSTREAM_UNREACHABLE, 0);
        }
        List<RequestFingerprint> running = recentFailures.since(timers.now());
        for (TargetCall call : open.values()) {
            if (call.isRunning()) {
                running.add(call.fingerprint());
            }
        }
        events.crashed(running);
        events.upstreamChanged();
        probeSoon();
    }

    /** Finds out whether an upstream that failed takes connections. */
    private void probeSoon() {
        if (probing || register.current().isEmpty()) {
            return;
        }
        probing = true;
        pool.probe(
                reachable -> {
                    if (!reachable) {
                        upstreamDown("no connection");
                        timers.after(
                                PROBE_MILLISECONDS,
                                () -> {
                                    probing = false;
                                    probeSoon();
                                });
                        return;
                    }
                    probing = false;
                    if (register.isDown()) {
                        register.up();
                        log.event("upstream-up").write();
                        events.upstreamChanged();
                        startNext();
                    }
                });
    }

    private void refuse(TargetCall call, RefusalReason reason, long retryAfterMilliseconds) {
        ledger.refuse(call.id);
        open.remove(call.id);
        tellRefusal(call, reason, retryAfterMilliseconds);
    }

    private void tellRefusal(TargetCall call, RefusalReason reason, long retryAfterMilliseconds) {
        TargetLoad load = load();
        log.event("call-refused")
                .with("request", call.call.getCallerRequestId())
                .with("reason", reason)
                .with("running", load.getRunning())
                .with("waiting", load.getWaiting())
                .with("limit", load.getLimit())
                .with("slowness", load.getSlownessPercent())
                .with("waited_ms", timers.now() - call.arrivedAt)
                .write();
        call.outcomes.refused(
                ForwardedRefusal.newBuilder()
                        .setSequence(call.call.getSequence())
                        .setAttempt(call.call.getAttempt())
                        .setReason(reason)
                        .setRetryAfterMilliseconds((int) retryAfterMilliseconds)
                        .setLoad(load)
                        .build());
    }

    private void tellFailure(TargetCall call, String detail) {
        call.outcomes.failed(
                ForwardedFailure.newBuilder()
                        .setSequence(call.call.getSequence())
                        .setAttempt(call.call.getAttempt())
                        .setDetail(detail)
                        .setLoad(load())
                        .build());
    }

    private static RequestId requestId(EntryName entry, long sequence) {
        return new RequestId(entry.node(), entry.incarnation(), sequence);
    }

    private static long nanoseconds(long milliseconds) {
        return TimeUnit.MILLISECONDS.toNanos(milliseconds);
    }
}
