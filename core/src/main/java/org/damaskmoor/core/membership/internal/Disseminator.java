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
 * Where news goes: to the own region by every member, to another region only by the members that
 * bridge to it, and of members only those of the own region.
 *
 * <p>Confined to the thread that drives the protocol.
 */
final class Disseminator {
    private static final int SENDINGS_PER_DECADE = 4;
    private static final int FEWEST_DECADES = 2;
    private static final int SENDINGS_TO_OTHER_REGION = 2;

    private final String ownRegion;
    private final BroadcastQueue local = new BroadcastQueue();
    private final Map<String, BroadcastQueue> remote = new HashMap<>();

    Disseminator(String ownRegion) {
        this.ownRegion = ownRegion;
    }

    void add(MessageLite content) {
        MessageLite told = content instanceof MemberRecord member ? shorten(member) : content;
        local.add(told);
        if (isForOtherRegions(content)) {
            remote.values().forEach(queue -> queue.add(told));
        }
    }

    /**
     * Of the suspect and the dead only what changed is told: when many fail at once this is most of
     * the traffic, and the others know the rest.
     */
    private static MemberRecord shorten(MemberRecord member) {
        boolean judged =
                member.getState() == MemberState.SUSPECT || member.getState() == MemberState.DEAD;
        if (!judged) {
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

    /** Tells which regions this node bridges to from now on. */
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
                message, budgetBytes, own ? localSendings(regionSize) : SENDINGS_TO_OTHER_REGION);
    }

    private static int localSendings(int regionSize) {
        double decades = Math.max(FEWEST_DECADES, Math.ceil(Math.log10(regionSize + 1.0)));
        return SENDINGS_PER_DECADE * (int) decades;
    }

    private BroadcastQueue queueFor(String region) {
        return region.equals(ownRegion) ? local : remote.get(region);
    }
}
