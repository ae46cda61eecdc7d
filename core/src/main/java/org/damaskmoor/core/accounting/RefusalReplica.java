package org.damaskmoor.core.accounting;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import org.damaskmoor.core.accounting.internal.OpenGroup;
import org.damaskmoor.core.id.Incarnation;
import org.damaskmoor.core.id.NodeId;
import org.damaskmoor.schema.mesh.RefusalBatch;
import org.damaskmoor.schema.mesh.RefusalBatchStored;

/**
 * Keeps other nodes' refusals until their owners flushed them, and hands out what a dead owner
 * left.
 *
 * <pre>{@code
 * buddy.onBatch(batch).ifPresent(stored -> send(owner, stored));
 * buddy.onOwnerGone(owner, incarnation);   // dead, left, or back with a new incarnation
 * buddy.takeAbandoned();                   // to the flusher, then buddy.onFlushed(group)
 * }</pre>
 *
 * <p>Invariants: a batch received twice counts once; a batch is acknowledged only when all before
 * it in its group is held; keys never exceed the bound by more than one batch. An owner wrongly
 * taken for dead costs a double flush, which readers count once. Not thread-safe.
 */
public final class RefusalReplica {
    private record Owner(NodeId node, Incarnation incarnation) {}

    private static final class Held {
        private final TreeMap<Long, OpenGroup> groups = new TreeMap<>();
        private final Map<Long, Long> handedOutThrough = new HashMap<>();
        private long flushedThrough;
        private boolean gone;
    }

    private final int maximumKeys;
    private final int maximumKeysPerGroup;
    private final Map<Owner, Held> owners = new HashMap<>();

    /**
     * A buddy that holds nothing.
     *
     * @param maximumKeys keys of all owners at which batches are answered with "full"
     * @param maximumKeysPerGroup keys at which callers of one group are folded
     */
    public RefusalReplica(int maximumKeys, int maximumKeysPerGroup) {
        this.maximumKeys = maximumKeys;
        this.maximumKeysPerGroup = maximumKeysPerGroup;
    }

    /** Takes a batch or a notice of what is flushed. Empty: there is nothing to answer. */
    public Optional<RefusalBatchStored> onBatch(RefusalBatch batch) {
        Owner owner =
                new Owner(new NodeId(batch.getNodeId()), new Incarnation(batch.getIncarnation()));
        abandonOlder(owner);
        dropFlushed(owner, batch.getFlushedThrough());
        if (batch.getSequence() == 0) {
            return Optional.empty();
        }
        if (size() + batch.getCountsCount() > maximumKeys) {
            return Optional.of(answer(batch).setFull(true).build());
        }
        return store(owner, batch) ? Optional.of(answer(batch).build()) : Optional.empty();
    }

    private boolean store(Owner owner, RefusalBatch batch) {
        Held held = owners.computeIfAbsent(owner, unused -> new Held());
        if (batch.getSequence() <= held.flushedThrough) {
            return true;
        }
        long first = batch.getGroupFirstSequence();
        OpenGroup group = held.groups.get(first);
        if (group == null) {
            group = new OpenGroup(owner.node(), owner.incarnation(), first, maximumKeysPerGroup);
        }
        boolean taken = group.append(batch);
        if (taken) {
            held.groups.put(first, group);
        }
        return taken;
    }

    private static RefusalBatchStored.Builder answer(RefusalBatch batch) {
        return RefusalBatchStored.newBuilder()
                .setIncarnation(batch.getIncarnation())
                .setSequence(batch.getSequence());
    }

    private void abandonOlder(Owner owner) {
        owners.forEach(
                (other, held) -> {
                    boolean older = other.incarnation().compareTo(owner.incarnation()) < 0;
                    held.gone |= older && other.node().equals(owner.node());
                });
    }

    private void dropFlushed(Owner owner, long flushedThrough) {
        Held held = owners.get(owner);
        if (held == null) {
            return;
        }
        held.flushedThrough = Math.max(held.flushedThrough, flushedThrough);
        held.groups.values().removeIf(group -> group.last() <= held.flushedThrough);
        if (held.groups.isEmpty() && held.gone) {
            owners.remove(owner);
        }
    }

    /** An incarnation of a node died or left: what it did not flush is abandoned. */
    public void onOwnerDown(NodeId node, Incarnation incarnation) {
        Held held = owners.get(new Owner(node, incarnation));
        if (held != null) {
            held.gone = true;
        }
    }

    /** A node that was taken for dead is alive after all. */
    public void onOwnerUp(NodeId node, Incarnation incarnation) {
        Held held = owners.get(new Owner(node, incarnation));
        if (held != null) {
            held.gone = false;
        }
    }

    /** Groups to flush for owners that are gone; each state of a group is handed out once. */
    public List<RefusalGroup> takeOrphaned() {
        List<RefusalGroup> abandoned = new ArrayList<>();
        Iterator<Held> iterator = owners.values().iterator();
        while (iterator.hasNext()) {
            Held held = iterator.next();
            if (held.gone) {
                takeGroups(held, abandoned);
            }
            if (held.gone && held.groups.isEmpty()) {
                iterator.remove();
            }
        }
        return abandoned;
    }

    private static void takeGroups(Held held, List<RefusalGroup> abandoned) {
        for (OpenGroup group : held.groups.values()) {
            Long handedOut = held.handedOutThrough.put(group.first(), group.last());
            if (handedOut == null || handedOut < group.last()) {
                abandoned.add(group.snapshot());
            }
        }
    }

    /** A group that {@link #takeOrphaned} handed out stands in the object store. */
    public void onFlushed(RefusalGroup group) {
        Held held = owners.get(new Owner(group.owner(), group.incarnation()));
        if (held == null) {
            return;
        }
        OpenGroup current = held.groups.get(group.first());
        if (current != null && held.gone && current.last() <= group.last()) {
            held.groups.remove(group.first());
            held.handedOutThrough.remove(group.first());
        }
    }

    /** Keys held for all owners. */
    public int size() {
        return owners.values().stream()
                .flatMap(held -> held.groups.values().stream())
                .mapToInt(OpenGroup::size)
                .sum();
    }

    /** Incarnations of nodes that something is kept of. */
    public int ownerCount() {
        return owners.size();
    }
}
