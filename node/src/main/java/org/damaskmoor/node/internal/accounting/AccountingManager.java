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
 * The accounting part of a node: holds each refusal at a peer before it is answered, keeps other
 * nodes' refusals, and flushes refusals and request counts to the object store.
 *
 * <pre>{@code
 * accounting.start();
 * accounting.record(refusal, id -> reply(id));    // caller event loop
 * accounting.flush(10_000).join();                // planned stop
 * }</pre>
 *
 * <p>Thread-safe but for {@link #record}, which belongs to the caller event loop; everything else
 * is handed to the accounting event loop. Invariants: a refusal is answered once, when a peer
 * stored it or its gap is noted; what is flushed counts every refusal once.
 */
public final class AccountingManager implements RefusalRecorder {
    private static final FluentLogger logger = FluentLogger.forEnclosingClass();
    private static final int RING_REFUSALS = 16_384;
    private static final int RING_FRAMES = 4_096;
    private static final int RING_REQUESTS = 16_384;
    private static final int BUDDY_KEYS = 262_144;
    private static final int KEYS_PER_GROUP = 4_096;
    private static final int REQUEST_KEYS = 4_096;
    private static final long RETRY_NANOSECONDS = TimeUnit.MILLISECONDS.toNanos(500);

    private record Received(MeshLink link, MeshFrame frame) {}

    private final AccountingDependencies parts;
    private final RefusalReplicator writer;
    private final RefusalReplica buddy = new RefusalReplica(BUDDY_KEYS, KEYS_PER_GROUP);
    private final RefusalFlusher refusals;
    private final RequestFlusher requests;
    private final ObjectWriter refusalObjects;
    private final ObjectWriter requestObjects;
    private final AdaptiveTicker ticks;
    private final RefusalOverflow overflow;
    private final RefusalRecorder intake;
    private final BoundedMailbox<Received> frames;
    private final BoundedMailbox<CompletedRequest> ended;
    private final Map<NodeId, Incarnation> present = new HashMap<>();
    private int unanswered;
    private CompletableFuture<Void> flushed;

    /** Creates the duty of one start of a node. */
    public AccountingManager(NodeId self, Incarnation incarnation, AccountingDependencies parts) {
        this.parts = parts;
        writer =
                new RefusalReplicator(
                        self,
                        incarnation,
                        RefusalReplicatorLimits.defaults(),
                        parts.peers(),
                        parts.sender(),
                        parts.random());
        refusals =
                new RefusalFlusher(
                        writer,
                        buddy,
                        queue(),
                        parts.flushIntervalNanoseconds(),
                        parts.random(),
                        now());
        requests =
                new RequestFlusher(
                        self,
                        incarnation,
                        queue(),
                        parts.flushIntervalNanoseconds(),
                        REQUEST_KEYS,
                        parts.random(),
                        now());
        refusalObjects =
                new ObjectWriter(parts.store(), refusals, parts.accounting(), parts.clock());
        requestObjects =
                new ObjectWriter(parts.store(), requests, parts.accounting(), parts.clock());
        ticks = new AdaptiveTicker(parts.timers(), this::isOpen, this::tick);
        overflow = new RefusalOverflow(parts.callers(), parts.accounting(), this::takeAnswered);
        intake = intake(self, incarnation);
        frames = mailbox(RING_FRAMES, this::take);
        ended = mailbox(RING_REQUESTS, requests::record);
    }

    private RefusalRecorder intake(NodeId self, Incarnation incarnation) {
        BoundedMailbox<RefusalIntake.Taken> taken = mailbox(RING_REFUSALS, this::take);
        return new RefusalIntake(
                self,
                incarnation,
                parts.epochMilliseconds(),
                parts.callers(),
                taken::offer,
                overflow);
    }

    private ObjectWriteQueue queue() {
        return new ObjectWriteQueue(RETRY_NANOSECONDS, parts.random());
    }

    private <T> BoundedMailbox<T> mailbox(int capacity, Consumer<T> consumer) {
        return new BoundedMailbox<>(capacity, parts.accounting(), consumer, this::wake);
    }

    /** Begins to flush. */
    public void start() {
        parts.accounting().execute(ticks::start);
    }

    @Override
    public void record(Refusal refusal, Consumer<String> whenRecorded) {
        intake.record(refusal, whenRecorded);
    }

    /** Counts an ended request for the service level. */
    public void onRequestEnded(CompletedRequest request) {
        if (!ended.offer(request)) {
            logger.atWarning().atMostEvery(1, TimeUnit.SECONDS).log(
                    "event=request-uncounted step=enqueue peer=accounting reason=ring-full");
        }
    }

    /** Takes a batch of a peer's refusals, or a peer's answer to one of this node's. */
    public void onFrame(MeshLink link, MeshFrame frame) {
        if (!frames.offer(new Received(link, frame))) {
            logger.atWarning().atMostEvery(1, TimeUnit.SECONDS).log(
                    "event=frame-dropped step=enqueue peer=accounting reason=ring-full");
        }
    }

    /** A member is present, for the first time, again, or in a new incarnation. */
    public void onMemberPresent(MemberRecord member) {
        parts.accounting().execute(() -> notePresent(member));
    }

    /** A member is dead or left. */
    public void onMemberGone(MemberRecord member) {
        parts.accounting().execute(() -> noteGone(nodeOf(member), incarnationOf(member)));
    }

    /**
     * Flushes until nothing is left, before a planned stop. Refusals and requests that come
     * meanwhile are flushed too.
     *
     * @param longestMilliseconds when to give up; what is left is then lost, but for what a peer
     *     stored
     */
    public CompletableFuture<Void> flush(long longestMilliseconds) {
        CompletableFuture<Void> whenFlushed = new CompletableFuture<>();
        parts.callers()
                .execute(
                        () -> {
                            overflow.transfer();
                            parts.accounting().execute(() -> beginFlush(whenFlushed));
                        });
        return whenFlushed
                .orTimeout(Math.max(1, longestMilliseconds), TimeUnit.MILLISECONDS)
                .exceptionally(AccountingManager::logUnflushed);
    }

    private void beginFlush(CompletableFuture<Void> whenFlushed) {
        flushed = whenFlushed;
        wake();
    }

    private static Void logUnflushed(Throwable failure) {
        logger.atWarning().log(
                "event=accounting-unflushed step=flush peer=object-store detail=%s", failure);
        return null;
    }

    private void take(RefusalIntake.Taken taken) {
        CompletableFuture<RefusalDurability> durability = writer.record(taken.refusal(), now());
        unanswered++;
        CompletableFuture<Void> unused = durability.thenAccept(reached -> answer(taken, reached));
    }

    private void answer(RefusalIntake.Taken taken, RefusalDurability reached) {
        unanswered--;
        logGap(reached);
        taken.whenRecorded().run();
    }

    private static void logGap(RefusalDurability reached) {
        if (reached == RefusalDurability.GAP) {
            logger.atWarning().atMostEvery(1, TimeUnit.SECONDS).log(
                    "event=refusal-gap step=write-ahead peer=none reason=not-stored-in-time");
        }
    }

    private void takeAnswered(RefusalCounters answered) {
        writer.recordAlreadyAnswered(answered, now());
    }

    private void take(Received received) {
        MeshFrame frame = received.frame();
        if (frame.hasRefusalBatch()) {
            buddy.onBatch(frame.getRefusalBatch())
                    .ifPresent(
                            stored ->
                                    received.link()
                                            .send(
                                                    MeshFrame.newBuilder()
                                                            .setRefusalBatchStored(stored)
                                                            .build()));
        } else if (frame.hasRefusalBatchStored()) {
            writer.onStored(received.link().peer(), frame.getRefusalBatchStored(), now());
        }
    }

    private void notePresent(MemberRecord member) {
        parts.peers().onMemberPresent(member);
        NodeId node = nodeOf(member);
        Incarnation incarnation = incarnationOf(member);
        Incarnation before = present.put(node, incarnation);
        if (before != null && !before.equals(incarnation)) {
            writer.onPeerLost(node, now());
            buddy.onOwnerDown(node, before);
        }
        buddy.onOwnerUp(node, incarnation);
    }

    private void noteGone(NodeId node, Incarnation incarnation) {
        buddy.onOwnerDown(node, incarnation);
        if (present.remove(node, incarnation)) {
            writer.onPeerLost(node, now());
        }
    }

    private boolean isOpen() {
        return unanswered > 0 || flushed != null;
    }

    private void wake() {
        ticks.wake();
    }

    private void tick() {
        long now = now();
        writer.tick(now);
        refusals.tick(now);
        requests.tick(now);
        if (flushed != null) {
            refusals.flush(now);
            requests.flush();
            completeWhenFlushed();
        }
        CompletableFuture<Void> unusedRefusals = refusalObjects.poll();
        CompletableFuture<Void> unusedRequests = requestObjects.poll();
    }

    private void completeWhenFlushed() {
        if (unanswered == 0 && refusals.isIdle() && requests.isIdle()) {
            flushed.complete(null);
            flushed = null;
        }
    }

    private long now() {
        return parts.clock().getAsLong();
    }

    private static NodeId nodeOf(MemberRecord member) {
        return new NodeId(member.getNodeId());
    }

    private static Incarnation incarnationOf(MemberRecord member) {
        return new Incarnation(member.getIncarnation());
    }
}
