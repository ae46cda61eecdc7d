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
 * Detects crashes of the upstream beside this node, and refuses requests that were in flight when
 * two upstreams crashed.
 *
 * <p>An upstream has crashed if a connection was lost while its call ran, and the upstream then
 * refuses connections, announces itself as warming, or lets its announcement expire. Nothing counts
 * as a crash after the upstream has announced that it leaves.
 *
 * <p>Thread-safe: one lock guards all state; it is used by the upstream event loop and, for {@link
 * #merge}, by the control event loop. Invariant: holds one fingerprint for each running call, and
 * those of lost calls until the crash is certain or the upstream announces itself {@link
 * #SUSPICION_NANOSECONDS} later.
 */
public final class CrashDetector {
    private static final FluentLogger logger = FluentLogger.forEnclosingClass();
    private static final long SUSPICION_NANOSECONDS = 30_000_000_000L;

    private record LostCall(RequestFingerprint request, long atNanoseconds) {}

    private final NodeId self;
    private final Incarnation incarnation;
    private final LongSupplier clock;
    private final Consumer<QuarantineRecord> broadcast;
    private final Quarantine quarantine = Quarantine.create();
    private final Map<RequestId, RequestFingerprint> running = new HashMap<>();
    private final List<LostCall> lostCalls = new ArrayList<>();
    private boolean leaving;

    /**
     * Creates a detector with an empty quarantine.
     *
     * @param self this node's id
     * @param incarnation this node's current incarnation
     * @param clock the monotonic clock, in nanoseconds
     * @param broadcast sends a crash record to the other nodes
     */
    public CrashDetector(
            NodeId self,
            Incarnation incarnation,
            LongSupplier clock,
            Consumer<QuarantineRecord> broadcast) {
        this.self = self;
        this.incarnation = incarnation;
        this.clock = clock;
        this.broadcast = broadcast;
    }

    /** Merges a crash record of another node; returns true if it was new and must be passed on. */
    public synchronized boolean merge(QuarantineRecord record) {
        return quarantine.merge(CrashRecord.of(record), clock.getAsLong());
    }

    /** Number of crash records that have not expired. */
    public synchronized int recordCount() {
        return quarantine.records(clock.getAsLong()).size();
    }

    /** Returns the refusal for a quarantined call; empty if the call may run. */
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
            lostCalls.add(new LostCall(request, now));
        } else if (outcome instanceof UpstreamOutcome.NotRun notRun && notRun.unreachable()) {
            confirmCrash("refused");
        }
    }

    /** Handles an announcement of the upstream. */
    synchronized void onAnnounced(UpstreamState state) {
        leaving = state == UpstreamState.LEAVING;
        if (leaving) {
            lostCalls.clear();
        } else if (state == UpstreamState.WARMING) {
            confirmCrash("restarted");
        }
        long oldest = clock.getAsLong() - SUSPICION_NANOSECONDS;
        lostCalls.removeIf(call -> call.atNanoseconds() < oldest);
    }

    /** Handles the end of the announcement's lease. */
    synchronized void onAnnouncementExpired() {
        running.values()
                .forEach(request -> lostCalls.add(new LostCall(request, clock.getAsLong())));
        confirmCrash("announcement-lapsed");
    }

    private void confirmCrash(String evidence) {
        if (leaving || lostCalls.isEmpty()) {
            return;
        }
        List<RequestFingerprint> inFlight =
                lostCalls.stream().map(LostCall::request).distinct().toList();
        lostCalls.clear();
        logger.atWarning().log(
                "event=upstream-crashed step=hand-over peer=upstream sign=%s in_flight=%d",
                evidence, inFlight.size());
        quarantine
                .onCrash(self, incarnation, inFlight, clock.getAsLong())
                .forEach(record -> broadcast.accept(record.toMessage()));
    }

    private static RequestFingerprint fingerprint(Call call) {
        return RequestFingerprint.of(
                call.getMethod(),
                call.getTarget(),
                call.getBody().toByteArray(),
                call.getIdempotencyKey());
    }
}
