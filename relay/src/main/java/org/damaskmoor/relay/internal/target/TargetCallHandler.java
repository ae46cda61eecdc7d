package org.damaskmoor.relay.internal.target;

import com.google.protobuf.ByteString;
import io.netty.channel.EventLoop;
import java.net.InetSocketAddress;
import java.util.Collection;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.concurrent.TimeUnit;
import org.damaskmoor.core.atmostonce.AcceptanceResult;
import org.damaskmoor.core.atmostonce.CallKey;
import org.damaskmoor.core.atmostonce.TargetLedger;
import org.damaskmoor.core.id.Incarnation;
import org.damaskmoor.core.id.RequestId;
import org.damaskmoor.core.quarantine.RequestFingerprint;
import org.damaskmoor.core.queueing.AdmissionQueue;
import org.damaskmoor.core.queueing.CallPacer;
import org.damaskmoor.core.queueing.CombinedPacer;
import org.damaskmoor.core.queueing.StartPacer;
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
 * Handles calls at the target: admits, queues or refuses each by the current load of the upstream,
 * and passes admitted calls to it. Calls reach the upstream only through this class.
 *
 * <p>Confined to the event loop. Invariants: each call ends in one of answer, refusal and failure;
 * a refused call was not run by the upstream and never will be; no call is handed over after the
 * drain time of an upstream that announced that it leaves; calls are handed over no faster than a
 * request limit that the upstream names.
 */
public final class TargetCallHandler {
    /**
     * Time for which the ledger remembers an ended call; longer than it takes to detect any lost
     * link.
     */
    private static final long RETENTION_MILLISECONDS = 30_000;

    private final Incarnation incarnation;
    private final UpstreamTracker tracker;
    private final TargetLedger ledger;
    private final Timers timers;
    private final EventLog log;
    private final TargetCallbacks callbacks;
    private final SlownessProbe slownessProbe;
    private final CallRunner runner;
    private final TargetLoadReporter loadReporter;
    private final TargetReplySender replySender;
    private final UpstreamNotices notices;
    private final UpstreamChangeLog changeLog;
    private final CallPacer pacer = new CallPacer();
    private final UpstreamWarmUp warmUp;
    private final AdmissionQueue<TargetCall> queue;
    private final OpenCalls openCalls;
    private final CallAdmission admission;

    public TargetCallHandler(
            Incarnation incarnation,
            UpstreamTracker tracker,
            TargetLedger ledger,
            EventLoop loop,
            InetSocketAddress upstream,
            long maxAnswerBytes,
            Timers timers,
            EventLog log,
            TargetCallbacks callbacks,
            double checksPerSecond) {
        this.incarnation = incarnation;
        this.tracker = tracker;
        this.ledger = ledger;
        this.timers = timers;
        this.log = log;
        this.callbacks = callbacks;
        this.changeLog = new UpstreamChangeLog(log);
        this.warmUp = new UpstreamWarmUp(callbacks, timers, log);
        StartPacer startPacer = new CombinedPacer(pacer, warmUp.pacer());
        this.queue = new AdmissionQueue<>(startPacer, callbacks::hasTenants);
        this.loadReporter = new TargetLoadReporter(tracker, queue, pacer, warmUp, callbacks);
        this.replySender = new TargetReplySender(timers, log, this::load);
        this.openCalls = new OpenCalls(ledger, replySender);
        this.notices =
                new UpstreamNotices(tracker, pacer, warmUp, timers, log, this::onLeavingHeard);
        UpstreamConnectionPool pool =
                new UpstreamConnectionPool(loop, upstream, maxAnswerBytes, timers, log);
        this.slownessProbe =
                new SlownessProbe(
                        pool,
                        new TokenBucket(checksPerSecond),
                        callbacks,
                        timers,
                        call -> admission().offer(call),
                        this::onProbed,
                        notices);
        this.runner =
                new CallRunner(
                        openCalls,
                        queue,
                        ledger,
                        tracker,
                        pool,
                        slownessProbe,
                        new UpstreamHealthMonitor(tracker, pool, timers, log, new HealthListener()),
                        replySender,
                        callbacks,
                        notices,
                        timers,
                        () -> admission().startQueuedCalls());
        this.admission =
                new CallAdmission(
                        tracker,
                        queue,
                        startPacer,
                        openCalls,
                        slownessProbe,
                        runner,
                        loadReporter,
                        callbacks,
                        timers);
    }

    private CallAdmission admission() {
        return admission;
    }

    private void onProbed() {
        warmUp.onChecked();
        admission.startQueuedCalls();
    }

    /**
     * The upstream announced itself.
     *
     * @return whether the announcement has taken effect
     */
    public boolean onAnnouncement(UpstreamAnnouncement announcement) {
        long now = timers.now();
        Optional<UpstreamAnnouncement> former = tracker.current();
        Change change = tracker.onAnnouncement(announcement, now);
        if (change == Change.UNCONFIRMED) {
            changeLog.onUnconfirmed(
                    announcement.id(), "announcement", announcement.draining(), former.get());
            return false;
        }
        if (isReplaced(former)) {
            notices.onReplaced();
        }
        if (!tracker.current().equals(former)) {
            warmUp.onAnnounced(announcement, change == Change.APPEARED);
        }
        queue.setLimit(runner.concurrencyLimit());
        if (change != Change.NONE) {
            changeLog.onAnnounced(change, announcement);
            callbacks.onUpstreamChanged();
        }
        if (change == Change.APPEARED) {
            slownessProbe.probe();
        }
        return true;
    }

    private boolean isReplaced(Optional<UpstreamAnnouncement> former) {
        return former.isPresent()
                && tracker.current().isPresent()
                && !former.get().isSameIncarnation(tracker.current().get());
    }

    /**
     * Handles a deregistration of the upstream.
     *
     * @param startedAt start time of the incarnation that leaves, if known
     * @return whether the deregistration has taken effect
     */
    public boolean onDeregistration(UpstreamId id, OptionalLong startedAt) {
        return onLeave(id, startedAt, "deregister");
    }

    private void onLeavingHeard(UpstreamAnnouncement upstream) {
        OptionalLong startedAt = OptionalLong.of(upstream.startEpochMilliseconds());
        onLeave(upstream.id(), startedAt, "answer");
    }

    private boolean onLeave(UpstreamId id, OptionalLong startedAt, String step) {
        Change change = tracker.onLeave(id, startedAt, timers.now());
        if (change == Change.UNCONFIRMED) {
            changeLog.onUnconfirmed(id, step, true, tracker.current().get());
        } else if (change == Change.LEAVING) {
            changeLog.onLeaving(id, step);
            callbacks.onUpstreamChanged();
        }
        return change != Change.UNCONFIRMED;
    }

    /** What left before this node was restarted is known, or can't be known. */
    public void onHistoryKnown() {
        if (tracker.isAwaitingHistory()) {
            tracker.onHistoryKnown();
            callbacks.onUpstreamChanged();
        }
    }

    /** Refuses new calls from now on. */
    public void stopAccepting() {
        loadReporter.markStopping();
        callbacks.onUpstreamChanged();
    }

    /** The evacuation of this node's data centre has begun or ended. */
    public void onEvacuation(boolean evacuated) {
        if (evacuated) {
            refuseWaitingCalls();
        } else {
            warmUp.onSuspected(slownessProbe, "evacuation-ended");
        }
        callbacks.onUpstreamChanged();
    }

    /** Refuses the calls that wait, while their entries can still try another target. */
    public void refuseWaitingCalls() {
        for (TargetCall waiting : queue.drainAll()) {
            openCalls.refuse(waiting, RefusalReason.DRAINING, 0);
        }
    }

    /**
     * Drops expired entries of the ledger, and asks a silent upstream whether its request limit
     * still holds. Call it about once a second.
     */
    public void maintain() {
        ledger.expire(toNanoseconds(timers.now()));
        if (notices.isLimitInDoubt() && !tracker.isDown()) {
            slownessProbe.probe();
        }
    }

    /** The state of the upstream: its current incarnation and whether it is leaving or down. */
    public UpstreamTracker upstreamTracker() {
        return tracker;
    }

    /** Whether no call is queued or running. */
    public boolean isIdle() {
        return openCalls.isEmpty();
    }

    /** Admits, queues or refuses a call of an entry. */
    public void onCall(EntryId entry, ForwardedCall call, CallOutcomeListener outcomeListener) {
        long now = timers.now();
        RequestId id = requestId(entry, call.getSequence());
        TargetCall received = new TargetCall(id, call, outcomeListener, now);
        AcceptanceResult acceptance =
                ledger.accept(
                                CallKey.of(id),
                                incarnation,
                                toNanoseconds(received.deadlineAt),
                                toNanoseconds(received.deadlineAt + RETENTION_MILLISECONDS),
                                toNanoseconds(now))
                        .result();
        switch (acceptance) {
            case ACCEPTED -> {
                if (call.hasHeardLimitPerSecond()) {
                    notices.onHearsay(call.getHeardLimitPerSecond());
                }
                admission.admit(received);
            }
            case FULL -> replySender.sendRefusal(received, RefusalReason.NODE_BUSY, 0);
            case DEADLINE_PASSED ->
                    replySender.sendRefusal(received, RefusalReason.DEADLINE_PASSED, 0);
            case SEALED_ALREADY ->
                    replySender.sendRefusal(received, RefusalReason.SEALED_AFTER_SILENCE, 0);
            default -> replySender.sendFailure(received, "the call came twice");
        }
    }

    /**
     * Seals a call whose link was lost. A call that was not handed over never will be; the outcome
     * of any other is sent over the new link.
     */
    public void onSeal(EntryId entry, CallSeal seal, CallOutcomeListener outcomeListener) {
        long now = timers.now();
        RequestId id = requestId(entry, seal.getSequence());
        SealState state = SealState.OTHER_INCARNATION;
        if (seal.getTargetIncarnation() == incarnation.value()) {
            long keepUntil = toNanoseconds(now + RETENTION_MILLISECONDS);
            state = ledger.seal(id, incarnation, keepUntil, toNanoseconds(now));
        }
        TargetCall call = openCalls.get(id);
        if (state == SealState.SEALED && call != null) {
            queue.remove(call);
            slownessProbe.remove(call);
            openCalls.remove(call);
        } else if (call != null) {
            call.outcomeListener = outcomeListener;
        }
        outcomeListener.onSealed(
                CallSealed.newBuilder()
                        .setSequence(seal.getSequence())
                        .setAttempt(seal.getAttempt())
                        .setState(state)
                        .build());
        log.event("call-sealed").with("request", id).with("state", state).write();
        if (call == null && state != SealState.SEALED) {
            replySender.sendRememberedOutcome(
                    seal, ledger.answer(id).orElse(ByteString.EMPTY), outcomeListener);
        }
    }

    /**
     * The entry no longer waits for the call: stops it, unless it is non-idempotent and running.
     */
    public void onCancel(EntryId entry, CallCancel cancel) {
        TargetCall call = openCalls.get(requestId(entry, cancel.getSequence()));
        if (call != null) {
            stopCall(call);
        }
    }

    /** A link closed, so that outcomes can't be delivered over it: stops its idempotent calls. */
    public void onLinkClosed(CallOutcomeListener outcomeListener) {
        for (TargetCall call : openCalls.all()) {
            if (call.outcomeListener == outcomeListener && !call.message.getNonIdempotent()) {
                stopCall(call);
            }
        }
    }

    private void stopCall(TargetCall call) {
        if (!call.isRunning()) {
            queue.remove(call);
            slownessProbe.remove(call);
            ledger.refuse(call.id);
            openCalls.remove(call);
        } else if (!call.message.getNonIdempotent()) {
            call.deadlineTimer.cancel();
            call.sent.abandon();
            queue.onAbandoned();
            ledger.failed(call.id);
            openCalls.remove(call);
            admission.startQueuedCalls();
        }
    }

    /** The current load of the upstream. */
    public TargetLoad load() {
        return loadReporter.load(slownessProbe.slowdownDetector(), timers.now());
    }

    private final class HealthListener implements UpstreamHealthMonitor.Listener {
        @Override
        public Collection<RequestFingerprint> running() {
            return openCalls.runningRequests();
        }

        @Override
        public void onDown(List<RequestFingerprint> suspects) {
            for (TargetCall waiting : queue.drainAll()) {
                openCalls.refuse(waiting, RefusalReason.UPSTREAM_UNREACHABLE, 0);
            }
            callbacks.onUpstreamCrashed(suspects);
            callbacks.onUpstreamChanged();
        }

        @Override
        public void onConnectionBroken() {
            warmUp.onSuspected(slownessProbe, "connection-broken");
        }

        @Override
        public void onUp() {
            warmUp.onSuspected(slownessProbe, "reachable");
            callbacks.onUpstreamChanged();
            admission.startQueuedCalls();
        }
    }

    private static RequestId requestId(EntryId entry, long sequence) {
        return new RequestId(entry.node(), entry.incarnation(), sequence);
    }

    private static long toNanoseconds(long milliseconds) {
        return TimeUnit.MILLISECONDS.toNanos(milliseconds);
    }
}
