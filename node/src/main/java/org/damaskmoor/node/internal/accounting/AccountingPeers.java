package org.damaskmoor.node.internal.accounting;

import java.util.List;
import java.util.function.Supplier;
import org.damaskmoor.core.id.DataCentreName;
import org.damaskmoor.core.id.NodeId;
import org.damaskmoor.core.id.RegionName;
import org.damaskmoor.mesh.MeshPeer;
import org.damaskmoor.node.internal.members.MemberDirectory;
import org.damaskmoor.schema.gossip.MemberRecord;

/**
 * Selects the nodes that can store this node's refusals: those in other data centres of its region.
 *
 * <p>Nodes of other regions, which are reached over the paid link, are used only if the region has
 * one data centre. If several data centres of the region were seen since the start and only one is
 * visible now, this node has lost contact with the others: refusals then count as gaps until
 * another data centre is visible again, and the paid link is not used.
 *
 * <p>Confined to the accounting event loop.
 */
public final class AccountingPeers implements Supplier<List<NodeId>> {
    private final MemberDirectory members;
    private final DataCentreName dataCentre;
    private final RegionName region;
    private boolean hasSeenOtherDataCentre;

    public AccountingPeers(MemberDirectory members, DataCentreName dataCentre, RegionName region) {
        this.members = members;
        this.dataCentre = dataCentre;
        this.region = region;
    }

    /** Handles a member that is present. */
    void onMemberPresent(MemberRecord member) {
        hasSeenOtherDataCentre |=
                member.getRegion().equals(region.value())
                        && !member.getDataCentre().equals(dataCentre.value());
    }

    @Override
    public List<NodeId> get() {
        List<MeshPeer> peers = members.peersOutside(dataCentre, region);
        if (peers.isEmpty() && !hasSeenOtherDataCentre) {
            peers = members.peersOutside(region);
        }
        return peers.stream().map(MeshPeer::nodeId).toList();
    }
}
