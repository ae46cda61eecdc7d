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
 * Holds copies of other nodes' refusal counts until their owners have flushed them, and hands out
 * the unflushed groups of a dead owner.
 *
 * <pre>{@code
 * replica.onBatch(batch).ifPresent(stored -> send(owner, stored));
 * replica.onOwnerDown(owner, incarnation);   // dead, left or restarted
 * replica.takeOrphaned();                   // to the flusher, then replica.onFlushed(group)
 * }</pre>
 *
 * <p>Invariants: a batch received twice counts once; a batch is acknowledged only when all earlier
 * batches of its group are held; keys never exceed the bound by more than one batch. The groups of
 * an owner that is wrongly considered dead are flushed twice, and readers count them once. Not
 * thread-safe.
 */
public final class RefusalReplica {
    private record Owner(NodeId node, Incarnation incarnation) {}

    private static final class OwnerGroups {
        private final TreeMap<Long, OpenGroup> groups = new TreeMap<>();
        private final Map<Long, Long> returnedThrough = new HashMap<>();
        private long flushedThrough;
        private boolean down;
    }

    private final int maximumKeys;
    private final int maximumKeysPerGroup;
    private final Map<Owner, OwnerGroups> owners = new HashMap<>();

    /**
     * Creates an empty replica.
     *
     * @param maximumKeys total number of keys at which batches are answered with "full"
     * @param maximumKeysPerGroup number of keys at which callers of one group are folded
     */
    public RefusalReplica(int maximumKeys, int maximumKeysPerGroup) {
        this.maximumKeys = maximumKeys;
        this.maximumKeysPerGroup = maximumKeysPerGroup;
    }

    /** Handles a batch or a flush notice. Returns the response, empty if there is none. */
    public Optional<RefusalBatchStored> onBatch(RefusalBatch batch) {
        Owner owner =
                new Owner(new NodeId(batch.getNodeId()), new Incarnation(batch.getIncarnation()));
        markOlderIncarnationsDown(owner);
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
        OwnerGroups ownerGroups = owners.computeIfAbsent(owner, unused -> new OwnerGroups());
        if (batch.getSequence() <= ownerGroups.flushedThrough) {
            return true;
        }
        long first = batch.getGroupFirstSequence();
        OpenGroup group = ownerGroups.groups.get(first);
        if (group == null) {
            group = new OpenGroup(owner.node(), owner.incarnation(), first, maximumKeysPerGroup);
        }
        boolean added = group.append(batch);
        if (added) {
            ownerGroups.groups.put(first, group);
        }
        return added;
    }

    private static RefusalBatchStored.Builder answer(RefusalBatch batch) {
        return RefusalBatchStored.newBuilder()
                .setIncarnation(batch.getIncarnation())
                .setSequence(batch.getSequence());
    }

    private void markOlderIncarnationsDown(Owner owner) {
        owners.forEach(
                (other, ownerGroups) -> {
                    boolean older = other.incarnation().compareTo(owner.incarnation()) < 0;
                    ownerGroups.down |= older && other.node().equals(owner.node());
                });
    }

    private void dropFlushed(Owner owner, long flushedThrough) {
        OwnerGroups ownerGroups = owners.get(owner);
        if (ownerGroups == null) {
            return;
        }
        ownerGroups.flushedThrough = Math.max(ownerGroups.flushedThrough, flushedThrough);
        ownerGroups.groups.values().removeIf(group -> group.last() <= ownerGroups.flushedThrough);
        if (ownerGroups.groups.isEmpty() && ownerGroups.down) {
            owners.remove(owner);
        }
    }

    /** An incarnation of a node died or left: its unflushed groups become orphaned. */
    public void onOwnerDown(NodeId node, Incarnation incarnation) {
        OwnerGroups ownerGroups = owners.get(new Owner(node, incarnation));
        if (ownerGroups != null) {
            ownerGroups.down = true;
        }
    }

    /** A node that was considered dead is alive: its groups are left to it to flush. */
    public void onOwnerUp(NodeId node, Incarnation incarnation) {
        OwnerGroups ownerGroups = owners.get(new Owner(node, incarnation));
        if (ownerGroups != null) {
            ownerGroups.down = false;
        }
    }

    /** Returns groups to flush for owners that are down; each state of a group is returned once. */
    public List<RefusalGroup> takeOrphaned() {
        List<RefusalGroup> orphaned = new ArrayList<>();
        Iterator<OwnerGroups> iterator = owners.values().iterator();
        while (iterator.hasNext()) {
            OwnerGroups ownerGroups = iterator.next();
            if (ownerGroups.down) {
                takeGroups(ownerGroups, orphaned);
            }
            if (ownerGroups.down && ownerGroups.groups.isEmpty()) {
                iterator.remove();
            }
        }
        return orphaned;
    }

    private static void takeGroups(OwnerGroups ownerGroups, List<RefusalGroup> orphaned) {
        for (OpenGroup group : ownerGroups.groups.values()) {
            Long returned = ownerGroups.returnedThrough.put(group.first(), group.last());
            if (returned == null || returned < group.last()) {
                orphaned.add(group.snapshot());
            }
        }
    }

    /** A group returned by {@link #takeOrphaned} was written to the object store. */
    public void onFlushed(RefusalGroup group) {
        OwnerGroups ownerGroups = owners.get(new Owner(group.owner(), group.incarnation()));
        if (ownerGroups == null) {
            return;
        }
        OpenGroup current = ownerGroups.groups.get(group.first());
        if (current != null && ownerGroups.down && current.last() <= group.last()) {
            ownerGroups.groups.remove(group.first());
            ownerGroups.returnedThrough.remove(group.first());
        }
    }

    /** Returns the number of keys stored for all owners. */
    public int size() {
        return owners.values().stream()
                .flatMap(ownerGroups -> ownerGroups.groups.values().stream())
                .mapToInt(OpenGroup::size)
                .sum();
    }

    /** Returns the number of node incarnations whose counts are stored. */
    public int ownerCount() {
        return owners.size();
    }
}
