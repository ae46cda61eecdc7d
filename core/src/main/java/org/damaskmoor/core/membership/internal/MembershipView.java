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
 * What this node knows of the group, and the one place where a record is taken in.
 *
 * <p>Invariants: only the node itself raises its revision; a record taken in is told onwards unless
 * the caller says otherwise. Confined to the thread that drives the protocol.
 */
final class MembershipView {
    final MembershipSettings settings;
    final RandomGenerator random;
    final MemberTable table;
    final Disseminator spread;
    final MessageSender outbox;
    final LocalHealth health = new LocalHealth();
    final SuspicionTimers suspicions;
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
        this.spread = new Disseminator(self.getRegion());
        this.outbox = new MessageSender(this, sender, extension);
        this.suspicions = new SuspicionTimers(this);
        table.merge(self, 0);
    }

    String region() {
        return self.getRegion();
    }

    boolean isSelf(String nodeId) {
        return self.getNodeId().equals(nodeId);
    }

    /** Replaces the own record by one with the next revision and tells it onwards. */
    void updateSelf(MemberRecord.Builder changed, long nowMilliseconds) {
        self = changed.setRevision(self.getRevision() + 1).build();
        table.merge(self, nowMilliseconds);
        spread.add(self);
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

    /** Takes in what was heard of a member. */
    void mergeRecord(MemberRecord heard, boolean tellOnwards, long nowMilliseconds) {
        if (isSelf(heard.getNodeId())) {
            learnOfSelf(heard, nowMilliseconds);
            return;
        }
        MemberRecord record = complete(heard);
        if (record == null) {
            return;
        }
        MemberTable.Change change = table.merge(record, nowMilliseconds);
        if (!change.applied()) {
            if (suspicions.confirm(record, nowMilliseconds)) {
                spread.add(record);
            }
            return;
        }
        if (tellOnwards) {
            spread.add(record);
        }
        suspicions.onChange(record, nowMilliseconds);
        Kind kind = kindOf(change.former(), record);
        if (kind != null) {
            listener.onEvent(MemberEvent.of(kind, record));
        }
    }

    /** Fills in what {@link Disseminator} left out; null when nothing is known of the member. */
    private MemberRecord complete(MemberRecord heard) {
        if (!heard.getRegion().isEmpty()) {
            return heard;
        }
        Member member = table.find(heard.getNodeId());
        return member == null
                ? null
                : member.record.toBuilder()
                        .setIncarnation(heard.getIncarnation())
                        .setRevision(heard.getRevision())
                        .setState(heard.getState())
                        .setSuspectedBy(heard.getSuspectedBy())
                        .build();
    }

    private void learnOfSelf(MemberRecord record, long nowMilliseconds) {
        if (record.getIncarnation() > self.getIncarnation()) {
            if (!superseded) {
                superseded = true;
                listener.onEvent(MemberEvent.of(Kind.SUPERSEDED, record));
            }
            return;
        }
        boolean newer = RecordOrder.compare(record, self) > 0;
        if (!newer && isJudged(record)) {
            spread.add(self);
        } else if (newer && self.getState() != MemberState.LEFT) {
            self = self.toBuilder().setRevision(record.getRevision()).build();
            updateSelf(self.toBuilder(), nowMilliseconds);
            health.degrade(1);
        }
    }

    /** Whoever still tells this missed the refutation: it is told again. */
    private static boolean isJudged(MemberRecord record) {
        return record.getState() == MemberState.SUSPECT || record.getState() == MemberState.DEAD;
    }

    private static Kind kindOf(MemberRecord former, MemberRecord record) {
        boolean wasPresent = former != null && Member.isPresent(former);
        return switch (record.getState()) {
            case DEAD -> wasPresent ? Kind.DEAD : null;
            case LEFT -> wasPresent ? Kind.LEFT : null;
            default -> kindOfPresent(former, wasPresent, record);
        };
    }

    private static Kind kindOfPresent(
            MemberRecord former, boolean wasPresent, MemberRecord record) {
        if (!wasPresent || former.getIncarnation() != record.getIncarnation()) {
            return Kind.JOINED;
        }
        return record.getState() == MemberState.SUSPECT ? Kind.SUSPECT : Kind.CHANGED;
    }

    void publish(MemberEvent event) {
        listener.onEvent(event);
    }
}
