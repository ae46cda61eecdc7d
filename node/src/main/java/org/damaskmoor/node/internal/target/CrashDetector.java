package org.damaskmoor.node.internal.target;

import com.google.common.flogger.FluentLogger;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Consumer;
import java.util.function.LongSupplier;
import org.damaskmoor.core.id.Incarnation;
import org.damaskmoor.core.id.NodeId;
import org.damaskmoor.core.id.RequestId;
import org.damaskmoor.core.quarantine.CrashRecord;
import org.damaskmoor.core.quarantine.Quarantine;
import org.damaskmoor.core.quarantine.RequestFingerprint;
import org.damaskmoor.schema.gossip.QuarantineRecord;
import org.damaskmoor.schema.mesh.Call;
import org.damaskmoor.schema.mesh.UpstreamState;

/**
 * Watches the upstream beside this node for crashes, and refuses requests that were in flight at
 * crashes of two upstreams.
 *
 * <p>A crash is: a connection was lost while its call ran, and then the upstream refuses
 * connections, announces itself as warming, or lets its announcement lapse. After it announced that
 * it leaves, nothing is a crash.
 *
 * <p>Thread-safe: one lock guards all; the upstream event loop and, for {@link #merge}, the control
 * event loop use it. Invariant: holds one fingerprint for each call that runs, and those of lost
 * calls until the crash is certain or its upstream is seen alive for {@link #CERTAIN_NANOSECONDS}.
 */
public final class CrashDetector {
    private static final FluentLogger logger = FluentLogger.forEnclosingClass();
    private static final long CERTAIN_NANOSECONDS = 30_000_000_000L;

    private record Lost(RequestFingerprint request, long atNanoseconds) {}

    private final NodeId self;
    private final Incarnation incarnation;
    private final LongSupplier clock;
    private final Consumer<QuarantineRecord> spread;
    private final Quarantine quarantine = Quarantine.create();
    private final Map<RequestId, RequestFingerprint> running = new HashMap<>();
    private final List<Lost> lost = new ArrayList<>();
    private boolean leaving;

    /**
     * Watches with an empty quarantine.
     *
     * @param self this node
     * @param incarnation this start of it
     * @param clock the monotonic clock, in nanoseconds
     * @param spread tells the other nodes of a crash
     */
    public CrashDetector(
            NodeId self,
            Incarnation incarnation,
            LongSupplier clock,
            Consumer<QuarantineRecord> spread) {
        this.self = self;
        this.incarnation = incarnation;
        this.clock = clock;
        this.spread = spread;
    }

    /** Another node told of a crash. True: it was news and should be told on. */
    public synchronized boolean merge(QuarantineRecord record) {
        return quarantine.merge(CrashRecord.of(record), clock.getAsLong());
    }

    /** Crashes that still count. */
    public synchronized int recordCount() {
        return quarantine.records(clock.getAsLong()).size();
    }

    /** The refusal for a call that must not run; empty when it may. */
    synchronized Optional<CallRefusal> quarantineRefusal(Call call) {
        long now = clock.getAsLong();
        RequestFingerprint request = fingerprint(call);
        if (!quarantine.isQuarantined(request, now)) {
            return Optional.empty();
        }
        int retryAfter = (int) quarantine.retryAfterMilliseconds(request, now);
        return Optional.of(CallRefusal.quarantined(retryAfter));
    }

    synchronized void onHandOver(RequestId id, Call call) {
        running.put(id, fingerprint(call));
    }

    synchronized void onOutcome(RequestId id, UpstreamOutcome outcome) {
        long now = clock.getAsLong();
        RequestFingerprint request = running.remove(id);
        if (request == null) {
            return;
        }
        if (outcome instanceof UpstreamOutcome.Answered) {
            quarantine.onAnswered(request, now);
        } else if (outcome instanceof UpstreamOutcome.Failed failed && failed.connectionLost()) {
            lost.add(new Lost(request, now));
        } else if (outcome instanceof UpstreamOutcome.NotRun notRun && notRun.unreachable()) {
            onGone("refused");
        }
    }

    /** The upstream announced itself. */
    synchronized void onAnnounced(UpstreamState state) {
        leaving = state == UpstreamState.LEAVING;
        if (leaving) {
            lost.clear();
        } else if (state == UpstreamState.WARMING) {
            onGone("restarted");
        }
        long oldest = clock.getAsLong() - CERTAIN_NANOSECONDS;
        lost.removeIf(call -> call.atNanoseconds() < oldest);
    }

    /** The upstream's announcement has lapsed. */
    synchronized void onAnnouncementExpired() {
        running.values().forEach(request -> lost.add(new Lost(request, clock.getAsLong())));
        onGone("announcement-lapsed");
    }

    private void onGone(String sign) {
        if (leaving || lost.isEmpty()) {
            return;
        }
        List<RequestFingerprint> inFlight = lost.stream().map(Lost::request).distinct().toList();
        lost.clear();
        logger.atWarning().log(
                "event=upstream-crashed step=hand-over peer=upstream sign=%s in_flight=%d",
                sign, inFlight.size());
        quarantine
                .onCrash(self, incarnation, inFlight, clock.getAsLong())
                .forEach(record -> spread.accept(record.toMessage()));
    }

    private static RequestFingerprint fingerprint(Call call) {
        return RequestFingerprint.of(
                call.getMethod(),
                call.getTarget(),
                call.getBody().toByteArray(),
                call.getIdempotencyKey());
    }
}
