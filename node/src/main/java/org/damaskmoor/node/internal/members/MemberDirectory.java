package org.damaskmoor.node.internal.members;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.damaskmoor.core.id.DataCentreName;
import org.damaskmoor.core.id.Incarnation;
import org.damaskmoor.core.id.NodeId;
import org.damaskmoor.core.id.RegionName;
import org.damaskmoor.core.id.ServiceName;
import org.damaskmoor.core.id.TargetId;
import org.damaskmoor.core.routing.Target;
import org.damaskmoor.mesh.MeshPeer;
import org.damaskmoor.schema.gossip.MemberRecord;
import org.damaskmoor.schema.gossip.MemberState;
import org.damaskmoor.schema.mesh.UpstreamState;

/**
 * The members of the cluster as last published by membership, for use by the other components.
 *
 * <p>Thread-safe: each publication replaces an immutable snapshot. Invariant: contains only members
 * that are alive or suspect.
 */
public final class MemberDirectory {
    private record Snapshot(
            Map<NodeId, MemberRecord> byNode, Map<ServiceName, List<Target>> byService) {}

    private volatile Snapshot snapshot = new Snapshot(Map.of(), Map.of());

    /** Replaces the snapshot. */
    public void publish(Collection<MemberRecord> members) {
        Map<NodeId, MemberRecord> byNode = new HashMap<>();
        Map<ServiceName, List<Target>> byService = new HashMap<>();
        for (MemberRecord member : members) {
            if (isPresent(member)) {
                byNode.put(new NodeId(member.getNodeId()), member);
                addTarget(byService, member);
            }
        }
        snapshot = new Snapshot(byNode, byService);
    }

    /** Number of members in the state. */
    public long count(MemberState state) {
        return snapshot.byNode().values().stream()
                .filter(member -> member.getState() == state)
                .count();
    }

    /** The mesh address of a member. */
    public Optional<MeshPeer> peer(NodeId node) {
        return Optional.ofNullable(snapshot.byNode().get(node)).map(MemberDirectory::meshPeer);
    }

    /** The record of a member. */
    public Optional<MemberRecord> member(NodeId node) {
        return Optional.ofNullable(snapshot.byNode().get(node));
    }

    /** Whether the node is a member in the region. */
    public boolean isInRegion(NodeId node, String region) {
        return member(node).filter(known -> known.getRegion().equals(region)).isPresent();
    }

    /** Whether the node of a record is a member in the same incarnation. */
    public boolean isCurrent(MemberRecord record) {
        return !record.getNodeId().isEmpty()
                && member(new NodeId(record.getNodeId()))
                        .filter(known -> known.getIncarnation() == record.getIncarnation())
                        .isPresent();
    }

    /** The members that run beside an upstream of the service. */
    public List<Target> targets(ServiceName service) {
        return snapshot.byService().getOrDefault(service, List.of());
    }

    /** Members of the region in other data centres. */
    public List<MeshPeer> peersOutside(DataCentreName dataCentre, RegionName region) {
        List<MeshPeer> peers = new ArrayList<>();
        for (MemberRecord member : snapshot.byNode().values()) {
            boolean outside =
                    member.getRegion().equals(region.value())
                            && !member.getDataCentre().equals(dataCentre.value());
            if (outside) {
                peers.add(meshPeer(member));
            }
        }
        return peers;
    }

    /** Members of all other regions. */
    public List<MeshPeer> peersOutside(RegionName region) {
        return snapshot.byNode().values().stream()
                .filter(member -> !member.getRegion().equals(region.value()))
                .map(MemberDirectory::meshPeer)
                .toList();
    }

    private static boolean isPresent(MemberRecord member) {
        return member.getState() == MemberState.ALIVE || member.getState() == MemberState.SUSPECT;
    }

    private static void addTarget(Map<ServiceName, List<Target>> byService, MemberRecord member) {
        if (member.getService().isEmpty()) {
            return;
        }
        UpstreamState state = UpstreamState.forNumber(member.getUpstreamState());
        Target target =
                new Target(
                        new TargetId(
                                new NodeId(member.getNodeId()),
                                new Incarnation(member.getIncarnation())),
                        new RegionName(member.getRegion()),
                        new DataCentreName(member.getDataCentre()),
                        state == null ? UpstreamState.ABSENT : state,
                        member.getCapacity());
        byService
                .computeIfAbsent(new ServiceName(member.getService()), service -> new ArrayList<>())
                .add(target);
    }

    private static MeshPeer meshPeer(MemberRecord member) {
        return new MeshPeer(
                new NodeId(member.getNodeId()),
                new InetSocketAddress(member.getAddress(), member.getMeshPort()));
    }
}
