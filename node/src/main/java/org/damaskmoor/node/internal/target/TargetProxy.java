package org.damaskmoor.node.internal.target;

import com.google.common.flogger.FluentLogger;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.function.BiFunction;
import java.util.function.Consumer;
import java.util.function.LongSupplier;
import org.damaskmoor.core.admission.AdmissionController;
import org.damaskmoor.core.admission.AdmissionOptions;
import org.damaskmoor.core.atmostonce.LedgerLimits;
import org.damaskmoor.core.atmostonce.TargetLedger;
import org.damaskmoor.core.configuration.MatchedService;
import org.damaskmoor.core.configuration.ServiceMatcher;
import org.damaskmoor.core.id.Incarnation;
import org.damaskmoor.core.id.NodeId;
import org.damaskmoor.core.id.ServiceName;
import org.damaskmoor.mesh.MeshLink;
import org.damaskmoor.mesh.ring.BoundedMailbox;
import org.damaskmoor.node.internal.eventloop.EventLoopThread;
import org.damaskmoor.schema.mesh.LoadReport;
import org.damaskmoor.schema.mesh.MeshFrame;
import org.damaskmoor.schema.mesh.UpstreamState;

/**
 * The target part of a node: the thread that decides on calls with the load of this instant.
 *
 * <p>Thread-safe: everything is handed to the upstream event loop.
 */
public final class TargetProxy {
    private static final FluentLogger logger = FluentLogger.forEnclosingClass();
    private static final int RING_FRAMES = 16_384;

    /** Pause between looks at what waits, while anything does. */
    private static final long BUSY_TICK_MILLISECONDS = 2;

    /** Pause between looks at the announcement's lease and the ledger. */
    private static final long IDLE_TICK_MILLISECONDS = 50;

    private static final int LEDGER_ENTRIES = 65_536;
    private static final long LEDGER_ANSWER_BYTES = 8 * 1024 * 1024;
    private static final int LEDGER_FENCES = 4_096;

    private record Received(MeshLink link, MeshFrame frame) {}

    /**
     * What other nodes are told of the upstream. Immutable and thread-safe.
     *
     * @param service the service that it runs; empty when it never announced itself
     * @param state its state
     * @param capacity requests that it serves at once
     */
    public record UpstreamStatus(
            Optional<ServiceName> service, UpstreamState state, int capacity) {}

    private final EventLoopThread loop;
    private final LongSupplier clock;
    private final int defaultQueueLimit;
    private final UpstreamRegistration registration;
    private final AdmissionController admission;
    private final TargetDispatcher dispatcher;
    private final BoundedMailbox<Received> mailbox;
    private final Consumer<UpstreamStatus> onStatus;
    private final CrashDetector crashes;
    private volatile LoadReport lastLoad = LoadReport.getDefaultInstance();
    private volatile boolean draining;
    private boolean busyTickPending;
    private UpstreamStatus lastStatus =
            new UpstreamStatus(Optional.empty(), UpstreamState.ABSENT, 0);

    /**
     * Creates the duty and starts its ticks.
     *
     * @param loop the upstream event loop
     * @param incarnation this start of the node
     * @param limits bounds of this target
     * @param clock the monotonic clock, in nanoseconds
     * @param epochMilliseconds the wall clock
     * @param claims claims idempotency keys
     * @param crashes watches for crashes of the upstream
     * @param reports the report that a node is sent, from the whole one
     * @param onStatus told of each change of the upstream's state, on the upstream event loop
     */
    public TargetProxy(
            EventLoopThread loop,
            Incarnation incarnation,
            TargetLimits limits,
            LongSupplier clock,
            LongSupplier epochMilliseconds,
            ClaimService claims,
            CrashDetector crashes,
            BiFunction<NodeId, LoadReport, LoadReport> reports,
            Consumer<UpstreamStatus> onStatus) {
        this.loop = loop;
        this.clock = clock;
        this.onStatus = onStatus;
        this.crashes = crashes;
        this.defaultQueueLimit = limits.queueLimit();
        this.registration = new UpstreamRegistration(limits.announcementLeaseMilliseconds());
        this.admission =
                AdmissionController.create(
                        new AdmissionOptions(0, defaultQueueLimit, java.util.Map.of()));
        this.dispatcher =
                new TargetDispatcher(
                        TargetLedger.bounded(
                                incarnation,
                                new LedgerLimits(
                                        LEDGER_ENTRIES, LEDGER_ANSWER_BYTES, LEDGER_FENCES)),
                        admission,
                        registration,
                        new HttpUpstreamClient(loop.eventLoop(), limits.maximumBodyBytes()),
                        claims,
                        crashes,
                        new TargetTiming(
                                clock, epochMilliseconds, limits.keyRetentionMilliseconds()),
                        reports);
        this.mailbox = new BoundedMailbox<>(RING_FRAMES, loop::execute, this::take, () -> {});
        loop.every(IDLE_TICK_MILLISECONDS, this::tick);
    }

    /**
     * Bounds of a target. Immutable and thread-safe.
     *
     * @param queueLimit most requests that wait, unless the service says otherwise
     * @param maximumBodyBytes longest body of an answer
     * @param announcementLeaseMilliseconds how long an announcement holds
     * @param keyRetentionMilliseconds how long an idempotency key is remembered
     */
    public record TargetLimits(
            int queueLimit,
            int maximumBodyBytes,
            long announcementLeaseMilliseconds,
            long keyRetentionMilliseconds) {}

    /** Takes a frame from an entry node; false when the ring is full. Any thread. */
    public boolean offer(MeshLink link, MeshFrame frame) {
        return mailbox.offer(new Received(link, frame));
    }

    /** The load of a few milliseconds ago. Any thread. */
    public LoadReport lastLoad() {
        return lastLoad;
    }

    /** The upstream announced itself. Any thread. */
    public void announce(Announcement announcement) {
        loop.execute(
                () -> {
                    crashes.onAnnounced(announcement.state());
                    registration.announce(announcement, clock.getAsLong());
                    admission.onUpstreamState(
                            announcement.state(), announcement.slots(), announcement.connections());
                    publishStatus();
                });
    }

    /** The configuration has changed. Any thread. */
    public void onConfigurationChanged(ServiceMatcher services) {
        loop.execute(() -> configure(services));
    }

    /** Takes no new calls from now on. Any thread. */
    public void drain() {
        loop.execute(
                () -> {
                    draining = true;
                    admission.drain();
                    publishStatus();
                });
    }

    /** Completes with whether nothing waits and nothing runs. Any thread. */
    public CompletableFuture<Boolean> isIdle() {
        CompletableFuture<Boolean> idle = new CompletableFuture<>();
        loop.execute(() -> idle.complete(dispatcher.isIdle() && admission.isIdle()));
        return idle;
    }

    private void take(Received received) {
        dispatcher.onFrame(received.link(), received.frame());
        tickSoonWhileBusy();
    }

    private void tickSoonWhileBusy() {
        if (!busyTickPending && !dispatcher.isIdle()) {
            busyTickPending = true;
            loop.timers().schedule(BUSY_TICK_MILLISECONDS, this::busyTick);
        }
    }

    private void busyTick() {
        busyTickPending = false;
        dispatcher.tick();
        lastLoad = admission.loadReport(clock.getAsLong());
        tickSoonWhileBusy();
    }

    private void tick() {
        long now = clock.getAsLong();
        if (registration.expire(now)) {
            logger.atWarning().log("event=upstream-absent step=announcement-lease peer=upstream");
            crashes.onAnnouncementExpired();
            admission.onUpstreamState(UpstreamState.ABSENT, 0, 0);
            publishStatus();
        }
        dispatcher.tick();
        lastLoad = admission.loadReport(now);
    }

    private void configure(ServiceMatcher services) {
        Optional<ServiceName> service = registration.current().map(Announcement::service);
        MatchedService matched =
                service.map(name -> services.findByName(name.value())).orElse(null);
        if (matched != null) {
            admission.configure(
                    AdmissionOptions.of(matched.configuration().getAdmission(), defaultQueueLimit));
        }
    }

    private void publishStatus() {
        Optional<Announcement> announcement = registration.current();
        UpstreamState state = draining ? UpstreamState.LEAVING : registration.state();
        UpstreamStatus status =
                new UpstreamStatus(
                        announcement.map(Announcement::service).or(lastStatus::service),
                        state,
                        announcement.map(Announcement::slots).orElse(0));
        if (!status.equals(lastStatus)) {
            lastStatus = status;
            logger.atInfo().log(
                    "event=upstream-state service=%s state=%s capacity=%d",
                    status.service().map(ServiceName::value).orElse("none"),
                    state,
                    status.capacity());
            onStatus.accept(status);
        }
    }
}
