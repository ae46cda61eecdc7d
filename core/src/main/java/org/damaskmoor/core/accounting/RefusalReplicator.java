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
 * Write-ahead log of an entry node's refusals at a peer in another data centre.
 *
 * <pre>{@code
 * writer.record(refusal, now).thenAccept(durability -> answerTheCaller());
 * writer.tick(now);                        // about every millisecond
 * writer.onStored(peer, stored, now);      // on a RefusalBatchStored frame
 * }</pre>
 *
 * <p>Refusals of about a millisecond form a batch. A silent, lost or full peer is replaced by
 * another, which gets all that is not flushed yet as one sum per group, so the current peer always
 * holds everything. A refusal that no peer stores in time is answered with {@link
 * RefusalDurability#GAP}; from then on refusals are answered at once, until a peer stores a batch
 * again.
 *
 * <p>Invariants: every refusal is in exactly one batch; a sequence is used once; an incremental
 * batch goes only to a peer that was sent all before it in its group; memory is bounded by {@link
 * RefusalReplicatorLimits}, also in an outage of hours, since at most one closed and one open group
 * exist. Not thread-safe: one thread calls everything, and tickets complete on it.
 */
public final class RefusalReplicator {
    private static final int FLUSH_NOTICES = 3;
    private static final int SILENT_PEERS = 4;
    private static final int LONGEST_PROBE_PAUSE_FACTOR = 32;

    private final NodeId self;
    private final Incarnation incarnation;
    private final RefusalReplicatorLimits limits;
    private final Supplier<List<NodeId>> peers;
    private final RefusalBatchSender sender;
    private final RandomGenerator random;
    private final ReplicationProgress progress = new ReplicationProgress();
    private final PendingRefusals waiting = new PendingRefusals();
    private final Map<NodeId, Integer> noticesDue = new HashMap<>();

    private RefusalCounters pending;
    private List<Ticket> pendingTickets = new ArrayList<>();
    private long pendingSinceNanoseconds;
    private OpenGroup group;
    private RefusalGroup closed;
    private NodeId peer;
    private long nextSequence = 1;
    private long flushedThrough;
    private boolean degraded;
    private long nextProbeNanoseconds;
    private int probePauseFactor = 1;

    /**
     * A writer without refusals.
     *
     * @param peers the nodes of other data centres that can be asked now
     * @param random chooses among them
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
        pending = new RefusalCounters(limits.maximumKeys());
        group = newGroup();
    }

    /** Counts a refusal. The future completes when the refusal may be answered; it never fails. */
    public CompletableFuture<RefusalDurability> record(Refusal refusal, long nowNanoseconds) {
        if (pending.isEmpty()) {
            pendingSinceNanoseconds = nowNanoseconds;
        }
        pending.add(refusal);
        boolean full = waiting.size() + pendingTickets.size() >= limits.waitingRefusals();
        if (degraded || full) {
            pending.addGap(refusal.epochMinute(), 1);
            return CompletableFuture.completedFuture(RefusalDurability.GAP);
        }
        Ticket ticket = new Ticket(refusal.epochMinute(), new CompletableFuture<>());
        pendingTickets.add(ticket);
        return ticket.durability();
    }

    /**
     * Counts refusals that were answered before they came here.
     *
     * @param answered their counts, each noted as a gap too
     */
    public void recordAlreadyAnswered(RefusalCounters answered, long nowNanoseconds) {
        if (pending.isEmpty()) {
            pendingSinceNanoseconds = nowNanoseconds;
        }
        pending.addAll(answered.counts(), answered.gaps(), answered.folded());
    }

    /** Does what is due at this time: sends, changes the peer, declares gaps. */
    public void tick(long nowNanoseconds) {
        if (!pending.isEmpty()
                && nowNanoseconds - pendingSinceNanoseconds >= limits.groupingNanoseconds()) {
            sealBatch(nowNanoseconds);
        }
        declareGaps(limits.gapNanoseconds(), nowNanoseconds);
        if (degraded) {
            probe(nowNanoseconds);
        } else if (progress.isUnresponsiveFor(limits.silenceNanoseconds(), nowNanoseconds)) {
            replaceSilentPeer(nowNanoseconds);
        }
    }

    /** A peer answered a batch. */
    public void onStored(NodeId from, RefusalBatchStored stored, long nowNanoseconds) {
        boolean mine = stored.getIncarnation() == incarnation.value();
        if (!mine || !noticesDue.containsKey(from)) {
            return;
        }
        if (stored.getFull()) {
            return;
        }
        recover(from, nowNanoseconds);
        boolean ofOpenGroup = stored.getSequence() >= group.first();
        if (from.equals(peer)) {
            noteProgress(stored.getSequence(), ofOpenGroup, nowNanoseconds);
        }
        complete(
                waiting.takeStored(
                        ofOpenGroup ? group.first() : closedFirst(), stored.getSequence()));
    }

    private void noteProgress(long sequence, boolean ofOpenGroup, long nowNanoseconds) {
        if (ofOpenGroup) {
            progress.onAcknowledged(sequence, nowNanoseconds);
        } else if (closed != null && sequence >= closed.last()) {
            progress.onClosedGroupAcknowledged();
        }
    }

    private static void complete(List<Ticket> stored) {
        stored.forEach(ticket -> ticket.durability().complete(RefusalDurability.STORED));
    }

    /** Membership lost sight of a node, or it leaves: what it stored no longer counts. */
    public void onPeerLost(NodeId lost, long nowNanoseconds) {
        noticesDue.remove(lost);
        if (!lost.equals(peer)) {
            return;
        }
        peer = null;
        if (!degraded && (closed != null || !group.isEmpty())) {
            changePeer(nowNanoseconds);
        }
    }

    /**
     * Closes the open group, so that it can be flushed. Empty when there is nothing to flush or the
     * group closed before is not flushed yet; the open group then goes on growing.
     */
    public Optional<RefusalGroup> closeGroup(long nowNanoseconds) {
        if (closed != null) {
            return Optional.empty();
        }
        if (!pending.isEmpty()) {
            sealBatch(nowNanoseconds);
        }
        if (group.isEmpty()) {
            return Optional.empty();
        }
        closed = group.snapshot();
        group = newGroup();
        progress.onGroupClosed(closed.last(), nowNanoseconds);
        return Optional.of(closed);
    }

    /** The closed group stands in the object store; peers are told so that they drop it. */
    public void onFlushed() {
        flushedThrough = closed.last();
        List<Ticket> flushed = waiting.takeStored(closed.first(), closed.last());
        closed = null;
        progress.onClosedGroupAcknowledged();
        RefusalBatch notice =
                RefusalBatch.newBuilder()
                        .setNodeId(self.value())
                        .setIncarnation(incarnation.value())
                        .setFlushedThrough(flushedThrough)
                        .build();
        List.copyOf(noticesDue.keySet()).forEach(holder -> sender.send(holder, notice));
        noticesDue.replaceAll((holder, due) -> holder.equals(peer) ? due : due - 1);
        noticesDue.values().removeIf(due -> due <= 0);
        complete(flushed);
    }

    /** Whether refusals are answered without waiting for a peer, because none answered in time. */
    public boolean isDegraded() {
        return degraded;
    }

    /** Keys held in all, for metrics. */
    public int size() {
        return pending.size() + group.size() + (closed == null ? 0 : closed.counts().size());
    }

    private OpenGroup newGroup() {
        return new OpenGroup(self, incarnation, nextSequence, limits.maximumKeys());
    }

    private long closedFirst() {
        return closed == null ? 0 : closed.first();
    }

    private void sealBatch(long nowNanoseconds) {
        RefusalBatch batch = nextBatch();
        group.append(batch);
        waiting.add(batch.getSequence(), group.first(), pendingSinceNanoseconds, pendingTickets);
        pending = new RefusalCounters(limits.maximumKeys());
        pendingTickets = new ArrayList<>();
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
                .setGroupFirstSequence(group.first())
                .setFirstSequence(sequence)
                .setFlushedThrough(flushedThrough)
                .addAllCounts(pending.counts())
                .addAllGaps(pending.gaps())
                .setFolded(pending.folded())
                .build();
    }

    private void replaceSilentPeer(long nowNanoseconds) {
        if (progress.unresponsivePeers() >= SILENT_PEERS) {
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
        if (closed != null) {
            send(closed.toBatch(flushedThrough));
        }
        if (!group.isEmpty()) {
            send(group.snapshot().toBatch(flushedThrough));
        }
        progress.onEverythingSent(
                nextSequence - 1, group.first() - 1, closed != null, nowNanoseconds);
    }

    private void send(RefusalBatch batch) {
        noticesDue.put(peer, FLUSH_NOTICES);
        sender.send(peer, batch);
    }

    private void declareGaps(long olderThanNanoseconds, long nowNanoseconds) {
        List<Ticket> late = waiting.takeOlderThan(olderThanNanoseconds, nowNanoseconds);
        if (late.isEmpty()) {
            return;
        }
        if (pending.isEmpty()) {
            pendingSinceNanoseconds = nowNanoseconds;
        }
        late.forEach(ticket -> pending.addGap(ticket.epochMinute(), 1));
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
        probePauseFactor = Math.min(probePauseFactor * 2, LONGEST_PROBE_PAUSE_FACTOR);
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
