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
 * The target role of a node: admits calls by the current load on its own thread and hands them over
 * to the upstream.
 *
 * <p>Thread-safe: methods post their work to the upstream event loop.
 */
public final class TargetProxy {
    private static final FluentLogger logger = FluentLogger.forEnclosingClass();
    private static final int MAILBOX_CAPACITY_FRAMES = 16_384;

    /** Interval between checks of the queued calls while any call is open. */
    private static final long BUSY_TICK_MILLISECONDS = 2;

    /** Interval between checks of the announcement's lease and the ledger. */
    private static final long IDLE_TICK_MILLISECONDS = 50;

    private static final int MAXIMUM_LEDGER_ENTRIES = 65_536;
    private static final long MAXIMUM_LEDGER_ANSWER_BYTES = 8 * 1024 * 1024;
    private static final int MAXIMUM_LEDGER_FENCES = 4_096;

    private record Received(MeshLink link, MeshFrame frame) {}

    /**
     * The status of the upstream as other nodes see it. Immutable and thread-safe.
     *
     * @param service the service that it runs; empty if it never announced itself
     * @param state its state
     * @param capacity number of requests that it serves concurrently
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
    private final CrashDetector crashDetector;
    private volatile LoadReport lastLoad = LoadReport.getDefaultInstance();
    private volatile boolean draining;
    private boolean busyTickPending;
    private UpstreamStatus lastStatus =
            new UpstreamStatus(Optional.empty(), UpstreamState.ABSENT, 0);

    /**
     * Creates a target proxy and starts its ticks.
     *
     * @param loop the upstream event loop
     * @param incarnation this node's current incarnation
     * @param limits limits of this target
     * @param clock the monotonic clock, in nanoseconds
     * @param epochMilliseconds the wall clock
     * @param claims claims idempotency keys
     * @param crashDetector detects crashes of the upstream
     * @param reportFilter returns the load report to send to a node, given the complete one
     * @param onStatus notified of each change of the upstream's status, on the upstream event loop
     */
    public TargetProxy(
            EventLoopThread loop,
            Incarnation incarnation,
            TargetLimits limits,
            LongSupplier clock,
            LongSupplier epochMilliseconds,
            ClaimService claims,
            CrashDetector crashDetector,
            BiFunction<NodeId, LoadReport, LoadReport> reportFilter,
            Consumer<UpstreamStatus> onStatus) {
        this.loop = loop;
        this.clock = clock;
        this.onStatus = onStatus;
        this.crashDetector = crashDetector;
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
                                        MAXIMUM_LEDGER_ENTRIES,
                                        MAXIMUM_LEDGER_ANSWER_BYTES,
                                        MAXIMUM_LEDGER_FENCES)),
                        admission,
                        registration,
                        new HttpUpstreamClient(loop.eventLoop(), limits.maximumBodyBytes()),
                        claims,
                        crashDetector,
                        new TargetTiming(
                                clock, epochMilliseconds, limits.keyRetentionMilliseconds()),
                        reportFilter);
        this.mailbox =
                new BoundedMailbox<>(
                        MAILBOX_CAPACITY_FRAMES, loop::execute, this::onReceived, () -> {});
        loop.every(IDLE_TICK_MILLISECONDS, this::tick);
    }

    /**
     * Limits of a target. Immutable and thread-safe.
     *
     * @param queueLimit maximum number of queued calls, unless the service sets its own
     * @param maximumBodyBytes maximum size of a response body
     * @param announcementLeaseMilliseconds how long an announcement is valid
     * @param keyRetentionMilliseconds how long an idempotency key is remembered
     */
    public record TargetLimits(
            int queueLimit,
            int maximumBodyBytes,
            long announcementLeaseMilliseconds,
            long keyRetentionMilliseconds) {}

    /** Queues a frame from an entry node; returns false if the mailbox is full. Any thread. */
    public boolean offer(MeshLink link, MeshFrame frame) {
        return mailbox.offer(new Received(link, frame));
    }

    /** The load at the last tick, a few milliseconds ago. Any thread. */
    public LoadReport lastLoad() {
        return lastLoad;
    }

    /** Handles an announcement of the upstream. Any thread. */
    public void announce(Announcement announcement) {
        loop.execute(
                () -> {
                    crashDetector.onAnnounced(announcement.state());
                    registration.announce(announcement, clock.getAsLong());
                    admission.onUpstreamState(
                            announcement.state(), announcement.slots(), announcement.connections());
                    publishStatus();
                });
    }

    /** Applies a changed configuration. Any thread. */
    public void onConfigurationChanged(ServiceMatcher services) {
        loop.execute(() -> configure(services));
    }

    /** Stops accepting new calls. Any thread. */
    public void drain() {
        loop.execute(
                () -> {
                    draining = true;
                    admission.drain();
                    publishStatus();
                });
    }

    /** Completes with whether no call is queued or running. Any thread. */
    public CompletableFuture<Boolean> isIdle() {
        CompletableFuture<Boolean> idle = new CompletableFuture<>();
        loop.execute(() -> idle.complete(dispatcher.isIdle() && admission.isIdle()));
        return idle;
    }

    private void onReceived(Received received) {
        dispatcher.onFrame(received.link(), received.frame());
        scheduleBusyTick();
    }

    private void scheduleBusyTick() {
        if (!busyTickPending && !dispatcher.isIdle()) {
            busyTickPending = true;
            loop.timers().schedule(BUSY_TICK_MILLISECONDS, this::busyTick);
        }
    }

    private void busyTick() {
        busyTickPending = false;
        dispatcher.tick();
        lastLoad = admission.loadReport(clock.getAsLong());
        scheduleBusyTick();
    }

    private void tick() {
        long now = clock.getAsLong();
        if (registration.expire(now)) {
            logger.atWarning().log("event=upstream-absent step=announcement-lease peer=upstream");
            crashDetector.onAnnouncementExpired();
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
