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
 * The nodes that can keep this node's refusals: those in other data centres of its region.
 *
 * <p>Nodes of other regions, over the paid link, are asked only when the region has one data
 * centre. A region that was seen with several data centres since the start and now shows one has
 * lost sight of the others: its refusals are then gaps until one is back, and the paid link stays
 * free.
 *
 * <p>Confined to the accounting event loop.
 */
public final class AccountingPeers implements Supplier<List<NodeId>> {
    private final MemberDirectory members;
    private final DataCentreName dataCentre;
    private final RegionName region;
    private boolean severalDataCentres;

    public AccountingPeers(MemberDirectory members, DataCentreName dataCentre, RegionName region) {
        this.members = members;
        this.dataCentre = dataCentre;
        this.region = region;
    }

    /** A member is present. */
    void onMemberPresent(MemberRecord member) {
        severalDataCentres |=
                member.getRegion().equals(region.value())
                        && !member.getDataCentre().equals(dataCentre.value());
    }

    @Override
    public List<NodeId> get() {
        List<MeshPeer> peers = members.peersOutside(dataCentre, region);
        if (peers.isEmpty() && !severalDataCentres) {
            peers = members.peersOutside(region);
        }
        return peers.stream().map(MeshPeer::nodeId).toList();
    }
}
