package org.damaskmoor.core.membership.internal;

import java.util.random.RandomGenerator;
import org.damaskmoor.core.membership.DatagramSender;
import org.damaskmoor.core.membership.GossipExtension;
import org.damaskmoor.core.membership.MemberEvent;
import org.damaskmoor.core.membership.MemberEvent.Kind;
import org.damaskmoor.core.membership.MemberListener;
import org.damaskmoor.core.membership.MembershipSettings;
import org.damaskmoor.schema.gossip.MemberRecord;
import org.damaskmoor.schema.gossip.MemberState;

/**
 * This node's view of the membership. All received records are merged here.
 *
 * <p>Invariants: only the node itself increments the revision of its record; a merged record is
 * forwarded unless the caller asks otherwise. Not thread-safe; used on the protocol thread.
 */
final class MembershipView {
    final MembershipSettings settings;
    final RandomGenerator random;
    final MemberTable table;
    final Disseminator disseminator;
    final MessageSender messageSender;
    final LocalHealth health = new LocalHealth();
    final SuspicionTimers suspicionTimers;
    private final MemberListener listener;
    MemberRecord self;
    private boolean superseded;

    MembershipView(
            MemberRecord self,
            MembershipSettings settings,
            DatagramSender sender,
            MemberListener listener,
            GossipExtension extension,
            RandomGenerator random) {
        this.self = self;
        this.settings = settings;
        this.random = random;
        this.listener = listener;
        this.table = new MemberTable(random);
        this.disseminator = new Disseminator(self.getRegion());
        this.messageSender = new MessageSender(this, sender, extension);
        this.suspicionTimers = new SuspicionTimers(this);
        table.merge(self, 0);
    }

    String region() {
        return self.getRegion();
    }

    boolean isSelf(String nodeId) {
        return self.getNodeId().equals(nodeId);
    }

    /** Replaces this node's own record with one that has the next revision, and broadcasts it. */
    void updateSelf(MemberRecord.Builder changed, long nowMilliseconds) {
        self = changed.setRevision(self.getRevision() + 1).build();
        table.merge(self, nowMilliseconds);
        disseminator.add(self);
    }

    void suspect(Member member, long nowMilliseconds) {
        MemberRecord record = member.record;
        if (member.isPresent()) {
            MemberRecord.Builder suspected = record.toBuilder().setState(MemberState.SUSPECT);
            mergeRecord(suspected.setSuspectedBy(self.getNodeId()).build(), true, nowMilliseconds);
        }
    }

    void declareDead(Member member, long nowMilliseconds) {
        MemberRecord.Builder dead = member.record.toBuilder().setState(MemberState.DEAD);
        mergeRecord(dead.clearSuspectedBy().build(), true, nowMilliseconds);
    }

    /** Merges a received record of a member. */
    void mergeRecord(MemberRecord received, boolean forward, long nowMilliseconds) {
        if (isSelf(received.getNodeId())) {
            mergeOwnRecord(received, nowMilliseconds);
            return;
        }
        MemberRecord record = complete(received);
        if (record == null) {
            return;
        }
        MemberTable.Change change = table.merge(record, nowMilliseconds);
        if (!change.applied()) {
            if (suspicionTimers.confirm(record, nowMilliseconds)) {
                disseminator.add(record);
            }
            return;
        }
        if (forward) {
            disseminator.add(record);
        }
        suspicionTimers.onChange(record, nowMilliseconds);
        Kind kind = kindOf(change.previous(), record);
        if (kind != null) {
            listener.onEvent(MemberEvent.of(kind, record));
        }
    }

    /**
     * Fills in the fields that {@link Disseminator} omits; returns null when the member is unknown.
     */
    private MemberRecord complete(MemberRecord received) {
        if (!received.getRegion().isEmpty()) {
            return received;
        }
        Member member = table.find(received.getNodeId());
        return member == null
                ? null
                : member.record.toBuilder()
                        .setIncarnation(received.getIncarnation())
                        .setRevision(received.getRevision())
                        .setState(received.getState())
                        .setSuspectedBy(received.getSuspectedBy())
                        .build();
    }

    private void mergeOwnRecord(MemberRecord record, long nowMilliseconds) {
        if (record.getIncarnation() > self.getIncarnation()) {
            if (!superseded) {
                superseded = true;
                listener.onEvent(MemberEvent.of(Kind.SUPERSEDED, record));
            }
            return;
        }
        boolean newer = RecordOrder.compare(record, self) > 0;
        if (!newer && isSuspectOrDead(record)) {
            disseminator.add(self);
        } else if (newer && self.getState() != MemberState.LEFT) {
            self = self.toBuilder().setRevision(record.getRevision()).build();
            updateSelf(self.toBuilder(), nowMilliseconds);
            health.degrade(1);
        }
    }

    /**
     * Whether the record declares its member suspect or dead. A sender of such a record about this
     * node has missed the refutation, which is then broadcast again.
     */
    private static boolean isSuspectOrDead(MemberRecord record) {
        return record.getState() == MemberState.SUSPECT || record.getState() == MemberState.DEAD;
    }

    private static Kind kindOf(MemberRecord previous, MemberRecord record) {
        boolean wasPresent = previous != null && Member.isPresent(previous);
        return switch (record.getState()) {
            case DEAD -> wasPresent ? Kind.DEAD : null;
            case LEFT -> wasPresent ? Kind.LEFT : null;
            default -> kindOfPresent(previous, wasPresent, record);
        };
    }

    private static Kind kindOfPresent(
            MemberRecord previous, boolean wasPresent, MemberRecord record) {
        if (!wasPresent || previous.getIncarnation() != record.getIncarnation()) {
            return Kind.JOINED;
        }
        return record.getState() == MemberState.SUSPECT ? Kind.SUSPECT : Kind.CHANGED;
    }

    void publish(MemberEvent event) {
        listener.onEvent(event);
    }
}
