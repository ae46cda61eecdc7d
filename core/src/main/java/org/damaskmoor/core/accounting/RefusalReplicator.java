package org.damaskmoor.core.accounting;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.function.Supplier;
import java.util.random.RandomGenerator;
import org.damaskmoor.core.accounting.internal.OpenGroup;
import org.damaskmoor.core.accounting.internal.PendingRefusals;
import org.damaskmoor.core.accounting.internal.PendingRefusals.Ticket;
import org.damaskmoor.core.accounting.internal.ReplicationProgress;
import org.damaskmoor.core.id.Incarnation;
import org.damaskmoor.core.id.NodeId;
import org.damaskmoor.schema.mesh.RefusalBatch;
import org.damaskmoor.schema.mesh.RefusalBatchStored;

/**
 * Replicates an entry node's refusal counts to a peer in another data centre before the refusals
 * are answered.
 *
 * <pre>{@code
 * replicator.record(refusal, now).thenAccept(durability -> answerCaller());
 * replicator.tick(now); // about every millisecond
 * replicator.onStored(peer, stored, now); // on a RefusalBatchStored frame
 * }</pre>
 *
 * <p>Refusals of about a millisecond form a batch. An unresponsive, lost or full peer is replaced
 * by another, which receives everything that is not flushed yet as one sum per group, so the
 * current peer always holds all unflushed counts. A refusal that no peer stores in time is answered
 * with {@link RefusalDurability#GAP}; from then on refusals are answered immediately, until a peer
 * stores a batch again.
 *
 * <p>Invariants: every refusal is in exactly one batch; a sequence is used once; an incremental
 * batch is sent only to a peer that was sent all earlier batches of its group; memory is bounded by
 * {@link RefusalReplicatorLimits}, also in an outage of hours, because at most one closed and one
 * open group exist. Not thread-safe: one thread makes all calls, and futures complete on it.
 */
public final class RefusalReplicator {
    private static final int FLUSH_NOTICES_PER_PEER = 3;
    private static final int MAXIMUM_UNRESPONSIVE_PEERS = 4;
    private static final int MAXIMUM_PROBE_PAUSE_FACTOR = 32;

    private final NodeId self;
    private final Incarnation incarnation;
    private final RefusalReplicatorLimits limits;
    private final Supplier<List<NodeId>> peers;
    private final RefusalBatchSender sender;
    private final RandomGenerator random;
    private final ReplicationProgress progress = new ReplicationProgress();
    private final PendingRefusals unacknowledged = new PendingRefusals();
    private final Map<NodeId, Integer> remainingFlushNotices = new HashMap<>();

    private RefusalCounters openBatch;
    private List<Ticket> openBatchTickets = new ArrayList<>();
    private long openBatchSinceNanoseconds;
    private OpenGroup openGroup;
    private RefusalGroup closedGroup;
    private NodeId peer;
    private long nextSequence = 1;
    private long flushedThrough;
    private boolean degraded;
    private long nextProbeNanoseconds;
    private int probePauseFactor = 1;

    /**
     * Creates a replicator without refusals.
     *
     * @param peers supplies the currently reachable nodes of other data centres
     * @param random chooses among the peers
     */
    public RefusalReplicator(
            NodeId self,
            Incarnation incarnation,
            RefusalReplicatorLimits limits,
            Supplier<List<NodeId>> peers,
            RefusalBatchSender sender,
            RandomGenerator random) {
        this.self = Objects.requireNonNull(self, "self");
        this.incarnation = Objects.requireNonNull(incarnation, "incarnation");
        this.limits = Objects.requireNonNull(limits, "limits");
        this.peers = Objects.requireNonNull(peers, "peers");
        this.sender = Objects.requireNonNull(sender, "sender");
        this.random = Objects.requireNonNull(random, "random");
        openBatch = new RefusalCounters(limits.maximumKeys());
        openGroup = newGroup();
    }

    /** Counts a refusal. The future completes when the refusal may be answered; it never fails. */
    public CompletableFuture<RefusalDurability> record(Refusal refusal, long nowNanoseconds) {
        if (openBatch.isEmpty()) {
            openBatchSinceNanoseconds = nowNanoseconds;
        }
        openBatch.add(refusal);
        boolean full = unacknowledged.size() + openBatchTickets.size() >= limits.waitingRefusals();
        if (degraded || full) {
            openBatch.addGap(refusal.epochMinute(), 1);
            return CompletableFuture.completedFuture(RefusalDurability.GAP);
        }
        Ticket ticket = new Ticket(refusal.epochMinute(), new CompletableFuture<>());
        openBatchTickets.add(ticket);
        return ticket.durability();
    }

    /**
     * Counts refusals that have already been answered.
     *
     * @param answered their counts, each also recorded as a gap
     */
    public void recordAlreadyAnswered(RefusalCounters answered, long nowNanoseconds) {
        if (openBatch.isEmpty()) {
            openBatchSinceNanoseconds = nowNanoseconds;
        }
        openBatch.addAll(answered.counts(), answered.gaps(), answered.folded());
    }

    /** Performs what is due at this time: sends batches, replaces the peer, declares gaps. */
    public void tick(long nowNanoseconds) {
        if (!openBatch.isEmpty()
                && nowNanoseconds - openBatchSinceNanoseconds >= limits.groupingNanoseconds()) {
            closeBatch(nowNanoseconds);
        }
        declareGaps(limits.gapNanoseconds(), nowNanoseconds);
        if (degraded) {
            probe(nowNanoseconds);
        } else if (progress.isUnresponsiveFor(limits.silenceNanoseconds(), nowNanoseconds)) {
            replaceUnresponsivePeer(nowNanoseconds);
        }
    }

    /** A peer responded to a batch. */
    public void onStored(NodeId from, RefusalBatchStored stored, long nowNanoseconds) {
        boolean isOwn = stored.getIncarnation() == incarnation.value();
        if (!isOwn || !remainingFlushNotices.containsKey(from)) {
            return;
        }
        if (stored.getFull()) {
            return;
        }
        recover(from, nowNanoseconds);
        boolean ofOpenGroup = stored.getSequence() >= openGroup.first();
        if (from.equals(peer)) {
            recordProgress(stored.getSequence(), ofOpenGroup, nowNanoseconds);
        }
        complete(
                unacknowledged.takeStored(
                        ofOpenGroup ? openGroup.first() : firstOfClosedGroup(),
                        stored.getSequence()));
    }

    private void recordProgress(long sequence, boolean ofOpenGroup, long nowNanoseconds) {
        if (ofOpenGroup) {
            progress.onAcknowledged(sequence, nowNanoseconds);
        } else if (closedGroup != null && sequence >= closedGroup.last()) {
            progress.onClosedGroupAcknowledged();
        }
    }

    private static void complete(List<Ticket> stored) {
        stored.forEach(ticket -> ticket.durability().complete(RefusalDurability.STORED));
    }

    /** A node is dead or leaving: the copies that it stored no longer count. */
    public void onPeerLost(NodeId lost, long nowNanoseconds) {
        remainingFlushNotices.remove(lost);
        if (!lost.equals(peer)) {
            return;
        }
        peer = null;
        if (!degraded && (closedGroup != null || !openGroup.isEmpty())) {
            changePeer(nowNanoseconds);
        }
    }

    /**
     * Closes the open group, so that it can be flushed. Empty if there is nothing to flush, or if
     * the previous closed group is not flushed yet; the open group then continues to grow.
     */
    public Optional<RefusalGroup> closeGroup(long nowNanoseconds) {
        if (closedGroup != null) {
            return Optional.empty();
        }
        if (!openBatch.isEmpty()) {
            closeBatch(nowNanoseconds);
        }
        if (openGroup.isEmpty()) {
            return Optional.empty();
        }
        closedGroup = openGroup.snapshot();
        openGroup = newGroup();
        progress.onGroupClosed(closedGroup.last(), nowNanoseconds);
        return Optional.of(closedGroup);
    }

    /** The closed group was written to the object store; notifies peers so that they drop it. */
    public void onFlushed() {
        flushedThrough = closedGroup.last();
        List<Ticket> flushed = unacknowledged.takeStored(closedGroup.first(), closedGroup.last());
        closedGroup = null;
        progress.onClosedGroupAcknowledged();
        RefusalBatch notice =
                RefusalBatch.newBuilder()
                        .setNodeId(self.value())
                        .setIncarnation(incarnation.value())
                        .setFlushedThrough(flushedThrough)
                        .build();
        List.copyOf(remainingFlushNotices.keySet()).forEach(holder -> sender.send(holder, notice));
        remainingFlushNotices.replaceAll((holder, due) -> holder.equals(peer) ? due : due - 1);
        remainingFlushNotices.values().removeIf(due -> due <= 0);
        complete(flushed);
    }

    /**
     * Returns whether refusals are answered without waiting for a peer, because none responded in
     * time.
     */
    public boolean isDegraded() {
        return degraded;
    }

    /** Returns the total number of keys in memory, for metrics. */
    public int size() {
        return openBatch.size()
                + openGroup.size()
                + (closedGroup == null ? 0 : closedGroup.counts().size());
    }

    private OpenGroup newGroup() {
        return new OpenGroup(self, incarnation, nextSequence, limits.maximumKeys());
    }

    private long firstOfClosedGroup() {
        return closedGroup == null ? 0 : closedGroup.first();
    }

    private void closeBatch(long nowNanoseconds) {
        RefusalBatch batch = nextBatch();
        openGroup.append(batch);
        unacknowledged.add(
                batch.getSequence(),
                openGroup.first(),
                openBatchSinceNanoseconds,
                openBatchTickets);
        openBatch = new RefusalCounters(limits.maximumKeys());
        openBatchTickets = new ArrayList<>();
        if (degraded) {
            return;
        }
        if (peer != null && progress.wasSentThrough(batch.getSequence() - 1)) {
            send(batch);
            progress.onBatchSent(batch.getSequence(), nowNanoseconds);
        } else {
            changePeer(nowNanoseconds);
        }
    }

    private RefusalBatch nextBatch() {
        long sequence = nextSequence++;
        return RefusalBatch.newBuilder()
                .setNodeId(self.value())
                .setIncarnation(incarnation.value())
                .setSequence(sequence)
                .setGroupFirstSequence(openGroup.first())
                .setFirstSequence(sequence)
                .setFlushedThrough(flushedThrough)
                .addAllCounts(openBatch.counts())
                .addAllGaps(openBatch.gaps())
                .setFolded(openBatch.folded())
                .build();
    }

    private void replaceUnresponsivePeer(long nowNanoseconds) {
        if (progress.unresponsivePeers() >= MAXIMUM_UNRESPONSIVE_PEERS) {
            degrade(nowNanoseconds);
        } else {
            changePeer(nowNanoseconds);
        }
    }

    private void changePeer(long nowNanoseconds) {
        List<NodeId> choices = new ArrayList<>(peers.get());
        if (choices.size() > 1) {
            choices.remove(peer);
        }
        if (choices.isEmpty()) {
            degrade(nowNanoseconds);
            declareGaps(0, nowNanoseconds);
            return;
        }
        peer = choices.get(random.nextInt(choices.size()));
        sendEverything(nowNanoseconds);
    }

    private void sendEverything(long nowNanoseconds) {
        if (closedGroup != null) {
            send(closedGroup.toBatch(flushedThrough));
        }
        if (!openGroup.isEmpty()) {
            send(openGroup.snapshot().toBatch(flushedThrough));
        }
        progress.onEverythingSent(
                nextSequence - 1, openGroup.first() - 1, closedGroup != null, nowNanoseconds);
    }

    private void send(RefusalBatch batch) {
        remainingFlushNotices.put(peer, FLUSH_NOTICES_PER_PEER);
        sender.send(peer, batch);
    }

    private void declareGaps(long olderThanNanoseconds, long nowNanoseconds) {
        List<Ticket> late = unacknowledged.takeOlderThan(olderThanNanoseconds, nowNanoseconds);
        if (late.isEmpty()) {
            return;
        }
        if (openBatch.isEmpty()) {
            openBatchSinceNanoseconds = nowNanoseconds;
        }
        late.forEach(ticket -> openBatch.addGap(ticket.epochMinute(), 1));
        if (!degraded) {
            degrade(nowNanoseconds);
        }
        late.forEach(ticket -> ticket.durability().complete(RefusalDurability.GAP));
    }

    private void degrade(long nowNanoseconds) {
        degraded = true;
        probePauseFactor = 1;
        nextProbeNanoseconds = nowNanoseconds + limits.probeNanoseconds();
    }

    private void probe(long nowNanoseconds) {
        if (nowNanoseconds - nextProbeNanoseconds < 0) {
            return;
        }
        probePauseFactor = Math.min(probePauseFactor * 2, MAXIMUM_PROBE_PAUSE_FACTOR);
        nextProbeNanoseconds = nowNanoseconds + limits.probeNanoseconds() * probePauseFactor;
        if (!peers.get().isEmpty()) {
            changePeer(nowNanoseconds);
        }
    }

    private void recover(NodeId from, long nowNanoseconds) {
        if (!degraded) {
            return;
        }
        degraded = false;
        if (!from.equals(peer) || !progress.wasSentThrough(nextSequence - 1)) {
            peer = from;
            sendEverything(nowNanoseconds);
        }
    }
}
