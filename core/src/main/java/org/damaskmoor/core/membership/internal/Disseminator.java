package org.damaskmoor.core.membership.internal;

import com.google.protobuf.MessageLite;
import java.util.HashMap;
import java.util.Map;
import java.util.Set;
import org.damaskmoor.schema.gossip.GossipMessage;
import org.damaskmoor.schema.gossip.MemberRecord;
import org.damaskmoor.schema.gossip.MemberState;
import org.damaskmoor.schema.gossip.RegionOpinion;

/**
 * Disseminates updates by gossip. Every member sends to its local region; only bridges send to
 * another region, and of member records only those of the local region.
 *
 * <p>Not thread-safe; used on the protocol thread.
 */
final class Disseminator {
    private static final int TRANSMISSIONS_PER_DECADE = 4;
    private static final int MIN_DECADES = 2;
    private static final int TRANSMISSIONS_TO_OTHER_REGION = 2;

    private final String ownRegion;
    private final BroadcastQueue local = new BroadcastQueue();
    private final Map<String, BroadcastQueue> remote = new HashMap<>();

    Disseminator(String ownRegion) {
        this.ownRegion = ownRegion;
    }

    void add(MessageLite content) {
        MessageLite update = content instanceof MemberRecord member ? shorten(member) : content;
        local.add(update);
        if (isForOtherRegions(content)) {
            remote.values().forEach(queue -> queue.add(update));
        }
    }

    /**
     * Omits the unchanged fields of suspect and dead members: these records are most of the traffic
     * when many members fail at once, and receivers know the other fields.
     */
    private static MemberRecord shorten(MemberRecord member) {
        boolean suspectOrDead =
                member.getState() == MemberState.SUSPECT || member.getState() == MemberState.DEAD;
        if (!suspectOrDead) {
            return member;
        }
        return MemberRecord.newBuilder()
                .setNodeId(member.getNodeId())
                .setIncarnation(member.getIncarnation())
                .setRevision(member.getRevision())
                .setState(member.getState())
                .setSuspectedBy(member.getSuspectedBy())
                .build();
    }

    private boolean isForOtherRegions(MessageLite content) {
        if (content instanceof MemberRecord member) {
            return member.getRegion().equals(ownRegion);
        }
        return !(content instanceof RegionOpinion);
    }

    /** Sets the regions for which this node is a bridge. */
    void setBridgedRegions(Set<String> regions) {
        remote.keySet().retainAll(regions);
        regions.forEach(region -> remote.computeIfAbsent(region, name -> new BroadcastQueue()));
    }

    boolean hasUpdatesFor(String region) {
        BroadcastQueue queue = queueFor(region);
        return queue != null && !queue.isEmpty();
    }

    void fill(GossipMessage.Builder message, String region, int budgetBytes, int regionSize) {
        BroadcastQueue queue = queueFor(region);
        if (queue == null || queue.isEmpty()) {
            return;
        }
        boolean own = region.equals(ownRegion);
        queue.fill(
                message,
                budgetBytes,
                own ? localTransmissions(regionSize) : TRANSMISSIONS_TO_OTHER_REGION);
    }

    private static int localTransmissions(int regionSize) {
        double decades = Math.max(MIN_DECADES, Math.ceil(Math.log10(regionSize + 1.0)));
        return TRANSMISSIONS_PER_DECADE * (int) decades;
    }

    private BroadcastQueue queueFor(String region) {
        return region.equals(ownRegion) ? local : remote.get(region);
    }
}
