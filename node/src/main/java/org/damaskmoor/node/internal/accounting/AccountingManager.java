package org.damaskmoor.node.internal.accounting;

import com.google.common.flogger.FluentLogger;
import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.damaskmoor.core.accounting.CompletedRequest;
import org.damaskmoor.core.accounting.ObjectWriteQueue;
import org.damaskmoor.core.accounting.RefusalCounters;
import org.damaskmoor.core.accounting.RefusalDurability;
import org.damaskmoor.core.accounting.RefusalFlusher;
import org.damaskmoor.core.accounting.RefusalReplica;
import org.damaskmoor.core.accounting.RefusalReplicator;
import org.damaskmoor.core.accounting.RefusalReplicatorLimits;
import org.damaskmoor.core.accounting.RequestFlusher;
import org.damaskmoor.core.id.Incarnation;
import org.damaskmoor.core.id.NodeId;
import org.damaskmoor.mesh.MeshLink;
import org.damaskmoor.mesh.ring.BoundedMailbox;
import org.damaskmoor.node.internal.entry.Refusal;
import org.damaskmoor.node.internal.entry.RefusalRecorder;
import org.damaskmoor.platform.ObjectWriter;
import org.damaskmoor.schema.gossip.MemberRecord;
import org.damaskmoor.schema.mesh.MeshFrame;

/**
 * The accounting of a node: stores each refusal at a peer before the caller gets its response,
 * stores refusals of other nodes, and flushes refusals and request counts to the object store.
 *
 * <pre>{@code
 * accounting.start();
 * accounting.record(refusal, id -> reply(id));    // caller event loop
 * accounting.flush(10_000).join();                // graceful shutdown
 * }</pre>
 *
 * <p>Thread-safe except {@link #record}, which is confined to the caller event loop; all other
 * methods post their work to the accounting event loop. Invariants: the callback of a refusal runs
 * once, after a peer has stored the refusal or it is counted as a gap; the flushed objects count
 * every refusal once.
 */
public final class AccountingManager implements RefusalRecorder {
    private static final FluentLogger logger = FluentLogger.forEnclosingClass();
    private static final int REFUSAL_MAILBOX_CAPACITY = 16_384;
    private static final int FRAME_MAILBOX_CAPACITY = 4_096;
    private static final int REQUEST_MAILBOX_CAPACITY = 16_384;
    private static final int MAXIMUM_REPLICA_KEYS = 262_144;
    private static final int MAXIMUM_KEYS_PER_GROUP = 4_096;
    private static final int MAXIMUM_REQUEST_KEYS = 4_096;
    private static final long RETRY_NANOSECONDS = TimeUnit.MILLISECONDS.toNanos(500);

    private record Received(MeshLink link, MeshFrame frame) {}

    private final AccountingDependencies dependencies;
    private final RefusalReplicator replicator;
    private final RefusalReplica replica =
            new RefusalReplica(MAXIMUM_REPLICA_KEYS, MAXIMUM_KEYS_PER_GROUP);
    private final RefusalFlusher refusals;
    private final RequestFlusher requests;
    private final ObjectWriter refusalObjects;
    private final ObjectWriter requestObjects;
    private final AdaptiveTicker ticker;
    private final RefusalOverflow overflow;
    private final RefusalRecorder intake;
    private final BoundedMailbox<Received> frames;
    private final BoundedMailbox<CompletedRequest> completedRequests;
    private final Map<NodeId, Incarnation> presentMembers = new HashMap<>();
    private int unrecorded;
    private CompletableFuture<Void> pendingFlush;

    /** Creates the accounting of one incarnation of a node. */
    public AccountingManager(
            NodeId self, Incarnation incarnation, AccountingDependencies dependencies) {
        this.dependencies = dependencies;
        replicator =
                new RefusalReplicator(
                        self,
                        incarnation,
                        RefusalReplicatorLimits.defaults(),
                        dependencies.peers(),
                        dependencies.sender(),
                        dependencies.random());
        refusals =
                new RefusalFlusher(
                        replicator,
                        replica,
                        createWriteQueue(),
                        dependencies.flushIntervalNanoseconds(),
                        dependencies.random(),
                        now());
        requests =
                new RequestFlusher(
                        self,
                        incarnation,
                        createWriteQueue(),
                        dependencies.flushIntervalNanoseconds(),
                        MAXIMUM_REQUEST_KEYS,
                        dependencies.random(),
                        now());
        refusalObjects =
                new ObjectWriter(
                        dependencies.store(),
                        refusals,
                        dependencies.accounting(),
                        dependencies.clock());
        requestObjects =
                new ObjectWriter(
                        dependencies.store(),
                        requests,
                        dependencies.accounting(),
                        dependencies.clock());
        ticker = new AdaptiveTicker(dependencies.timers(), this::hasPendingWork, this::tick);
        overflow =
                new RefusalOverflow(
                        dependencies.callers(), dependencies.accounting(), this::recordOverflow);
        intake = createIntake(self, incarnation);
        frames = createMailbox(FRAME_MAILBOX_CAPACITY, this::onReceived);
        completedRequests = createMailbox(REQUEST_MAILBOX_CAPACITY, requests::record);
    }

    private RefusalRecorder createIntake(NodeId self, Incarnation incarnation) {
        BoundedMailbox<RefusalIntake.PendingRefusal> pending =
                createMailbox(REFUSAL_MAILBOX_CAPACITY, this::onRefusal);
        return new RefusalIntake(
                self,
                incarnation,
                dependencies.epochMilliseconds(),
                dependencies.callers(),
                pending::offer,
                overflow);
    }

    private ObjectWriteQueue createWriteQueue() {
        return new ObjectWriteQueue(RETRY_NANOSECONDS, dependencies.random());
    }

    private <T> BoundedMailbox<T> createMailbox(int capacity, Consumer<T> consumer) {
        return new BoundedMailbox<>(capacity, dependencies.accounting(), consumer, this::wake);
    }

    /** Starts the periodic flushes. */
    public void start() {
        dependencies.accounting().execute(ticker::start);
    }

    @Override
    public void record(Refusal refusal, Consumer<String> whenRecorded) {
        intake.record(refusal, whenRecorded);
    }

    /** Counts a completed request for the service level. */
    public void onRequestEnded(CompletedRequest request) {
        if (!completedRequests.offer(request)) {
            logger.atWarning().atMostEvery(1, TimeUnit.SECONDS).log(
                    "event=request-uncounted step=enqueue peer=accounting reason=ring-full");
        }
    }

    /**
     * Handles a batch of a peer's refusals, or a peer's acknowledgement of a batch of this node.
     */
    public void onFrame(MeshLink link, MeshFrame frame) {
        if (!frames.offer(new Received(link, frame))) {
            logger.atWarning().atMostEvery(1, TimeUnit.SECONDS).log(
                    "event=frame-dropped step=enqueue peer=accounting reason=ring-full");
        }
    }

    /** Handles a member that is present for the first time, again, or in a new incarnation. */
    public void onMemberPresent(MemberRecord member) {
        dependencies.accounting().execute(() -> recordPresent(member));
    }

    /** Handles a member that is dead or has left. */
    public void onMemberRemoved(MemberRecord member) {
        dependencies
                .accounting()
                .execute(() -> unregisterPeer(nodeOf(member), incarnationOf(member)));
    }

    /**
     * Flushes everything, including refusals and requests that arrive meanwhile, before a graceful
     * shutdown.
     *
     * @param timeoutMilliseconds time limit; data that is not flushed by then is lost, unless a
     *     peer stores it
     */
    public CompletableFuture<Void> flush(long timeoutMilliseconds) {
        CompletableFuture<Void> flush = new CompletableFuture<>();
        dependencies
                .callers()
                .execute(
                        () -> {
                            overflow.transfer();
                            dependencies.accounting().execute(() -> beginFlush(flush));
                        });
        return flush.orTimeout(Math.max(1, timeoutMilliseconds), TimeUnit.MILLISECONDS)
                .exceptionally(AccountingManager::logUnflushed);
    }

    private void beginFlush(CompletableFuture<Void> flush) {
        pendingFlush = flush;
        wake();
    }

    private static Void logUnflushed(Throwable failure) {
        logger.atWarning().log(
                "event=accounting-unflushed step=flush peer=object-store detail=%s", failure);
        return null;
    }

    private void onRefusal(RefusalIntake.PendingRefusal pending) {
        CompletableFuture<RefusalDurability> recorded = replicator.record(pending.refusal(), now());
        unrecorded++;
        CompletableFuture<Void> unused =
                recorded.thenAccept(durability -> complete(pending, durability));
    }

    private void complete(RefusalIntake.PendingRefusal pending, RefusalDurability durability) {
        unrecorded--;
        logGap(durability);
        pending.whenRecorded().run();
    }

    private static void logGap(RefusalDurability durability) {
        if (durability == RefusalDurability.GAP) {
            logger.atWarning().atMostEvery(1, TimeUnit.SECONDS).log(
                    "event=refusal-gap step=write-ahead peer=none reason=not-stored-in-time");
        }
    }

    private void recordOverflow(RefusalCounters counts) {
        replicator.recordAlreadyAnswered(counts, now());
    }

    private void onReceived(Received received) {
        MeshFrame frame = received.frame();
        if (frame.hasRefusalBatch()) {
            replica.onBatch(frame.getRefusalBatch())
                    .ifPresent(
                            stored ->
                                    received.link()
                                            .send(
                                                    MeshFrame.newBuilder()
                                                            .setRefusalBatchStored(stored)
                                                            .build()));
        } else if (frame.hasRefusalBatchStored()) {
            replicator.onStored(received.link().peer(), frame.getRefusalBatchStored(), now());
        }
    }

    private void recordPresent(MemberRecord member) {
        dependencies.peers().onMemberPresent(member);
        NodeId node = nodeOf(member);
        Incarnation incarnation = incarnationOf(member);
        Incarnation previous = presentMembers.put(node, incarnation);
        if (previous != null && !previous.equals(incarnation)) {
            replicator.onPeerLost(node, now());
            replica.onOwnerDown(node, previous);
        }
        replica.onOwnerUp(node, incarnation);
    }

    private void unregisterPeer(NodeId node, Incarnation incarnation) {
        replica.onOwnerDown(node, incarnation);
        if (presentMembers.remove(node, incarnation)) {
            replicator.onPeerLost(node, now());
        }
    }

    private boolean hasPendingWork() {
        return unrecorded > 0 || pendingFlush != null;
    }

    private void wake() {
        ticker.wake();
    }

    private void tick() {
        long now = now();
        replicator.tick(now);
        refusals.tick(now);
        requests.tick(now);
        if (pendingFlush != null) {
            refusals.flush(now);
            requests.flush();
            completeWhenFlushed();
        }
        CompletableFuture<Void> unusedRefusals = refusalObjects.poll();
        CompletableFuture<Void> unusedRequests = requestObjects.poll();
    }

    private void completeWhenFlushed() {
        if (unrecorded == 0 && refusals.isIdle() && requests.isIdle()) {
            pendingFlush.complete(null);
            pendingFlush = null;
        }
    }

    private long now() {
        return dependencies.clock().getAsLong();
    }

    private static NodeId nodeOf(MemberRecord member) {
        return new NodeId(member.getNodeId());
    }

    private static Incarnation incarnationOf(MemberRecord member) {
        return new Incarnation(member.getIncarnation());
    }
}
