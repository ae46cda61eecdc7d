package org.damaskmoor.relay.internal.fleet;

import com.google.protobuf.InvalidProtocolBufferException;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.damaskmoor.core.id.DataCentreName;
import org.damaskmoor.core.id.NodeId;
import org.damaskmoor.core.id.RegionName;
import org.damaskmoor.core.id.ServiceName;
import org.damaskmoor.core.placement.Proximity;
import org.damaskmoor.core.placement.TargetEstimate;
import org.damaskmoor.platform.protocol.StoredRow;
import org.damaskmoor.relay.internal.link.CallLink;
import org.damaskmoor.relay.internal.log.EventLog;
import org.damaskmoor.relay.internal.net.Addresses;
import org.damaskmoor.relay.internal.time.Timers;
import org.damaskmoor.schema.link.FleetMember;
import org.damaskmoor.schema.link.LinkHello;

/**
 * The nodes of the fleet that this node knows from the store and from peers.
 *
 * <p>Confined to the event loop. Invariants: this node is always included; a record from a peer
 * replaces only an older one; a record from the store replaces any other; the end of a membership
 * cuts no call that has been sent, unless another node has taken the address.
 */
public final class FleetDirectory implements TableWatch.Listener {
    /** Table of the store in which each node keeps its own record, keyed by its id. */
    public static final String TABLE = "members";

    /**
     * Time in which a live node writes its record again after the store has lost it: it hears of
     * the restore within a heartbeat, and reads its row before it writes.
     */
    private static final long RECORD_TIMEOUT_MILLISECONDS = 3000;

    private final NodeId self;
    private final RegionName region;
    private final DataCentreName dataCentre;
    private final LinkFactory linkFactory;
    private final Timers timers;
    private final EventLog log;
    private final LeavingUpstreams leavingUpstreams;
    private final Map<NodeId, FleetTarget> targets = new HashMap<>();
    private final Map<ServiceName, List<FleetTarget>> byService = new HashMap<>();
    private final Set<NodeId> storedNodes = new HashSet<>();
    private final FormerMembers formerMembers = new FormerMembers();
    private final RetiredLinks retiredLinks;
    private long awaitingRecordsUntil = Long.MIN_VALUE;
    private boolean snapshotReceived;
    private boolean selfInFirstSnapshot;
    private long digest;
    private Set<DataCentreName> evacuated = Set.of();

    /** Creates the link to a node. */
    @FunctionalInterface
    public interface LinkFactory {
        CallLink link(NodeId node, InetSocketAddress address);
    }

    public FleetDirectory(
            NodeId self,
            RegionName region,
            DataCentreName dataCentre,
            LinkFactory linkFactory,
            Timers timers,
            EventLog log,
            LeavingUpstreams leavingUpstreams) {
        this.self = self;
        this.region = region;
        this.dataCentre = dataCentre;
        this.linkFactory = linkFactory;
        this.timers = timers;
        this.log = log;
        this.leavingUpstreams = leavingUpstreams;
        this.retiredLinks = new RetiredLinks(log);
    }

    /** Adds this node. */
    public void addSelf(FleetMember member, CallLink link) {
        TargetEstimate estimate = new TargetEstimate(Proximity.SELF, 1, timers.now());
        put(new FleetTarget(self, member, estimate, link, leavingUpstreams));
    }

    /** All nodes, including this one. */
    public Collection<FleetTarget> all() {
        return targets.values();
    }

    /** The nodes whose upstreams serve the given service. */
    public List<FleetTarget> targets(ServiceName service) {
        return byService.getOrDefault(service, List.of());
    }

    /** The data centres whose upstreams must get no calls. */
    public Set<DataCentreName> evacuated() {
        return evacuated;
    }

    /** Replaces the data centres whose upstreams must get no calls. */
    public void setEvacuated(Set<DataCentreName> dataCentres) {
        evacuated = Set.copyOf(dataCentres);
    }

    /** A node, if it is known. */
    public Optional<FleetTarget> find(NodeId node) {
        return Optional.ofNullable(targets.get(node));
    }

    /** Whether the members were read from the store at least once. */
    public boolean hasSnapshot() {
        return snapshotReceived;
    }

    /** Whether the store had a record of this node when the members were read first. */
    public boolean wasKnownBefore() {
        return selfInFirstSnapshot;
    }

    /** Digest of all nodes with their addresses and services; equal at nodes that know the same. */
    public long digest() {
        return digest;
    }

    /** The nodes of this node's data centre, including itself. */
    public List<FleetTarget> inDataCentre() {
        return targets.values().stream().filter(this::isInDataCentre).toList();
    }

    /** The nodes of the other data centres. */
    public List<FleetTarget> inOtherDataCentres() {
        return targets.values().stream().filter(target -> !isInDataCentre(target)).toList();
    }

    /** Whether a node is in the same region as this one. */
    public boolean isInRegion(FleetTarget target) {
        return target.member().getRegion().equals(region.value());
    }

    private boolean isInDataCentre(FleetTarget target) {
        return target.member().getDataCentre().equals(dataCentre.value());
    }

    @Override
    public void onSnapshot(List<StoredRow> rows) {
        if (!snapshotReceived) {
            snapshotReceived = true;
            selfInFirstSnapshot = rows.stream().anyMatch(row -> row.key().equals(self.value()));
        }
        Set<NodeId> previous = Set.copyOf(storedNodes);
        storedNodes.clear();
        rows.forEach(this::onChange);
        List<NodeId> missing =
                previous.stream().filter(node -> !storedNodes.contains(node)).toList();
        if (timers.now() < awaitingRecordsUntil) {
            awaitRecords(missing);
        } else {
            missing.forEach(this::onLeft);
        }
    }

    /**
     * The store has returned from an older copy: a node without a row may be alive, and a row may
     * be of a node that has left.
     */
    public void onStoreRestored() {
        awaitingRecordsUntil = timers.now() + RECORD_TIMEOUT_MILLISECONDS;
        formerMembers.onStoreRestored();
    }

    /**
     * Keeps nodes whose records the store has lost until they have had time to write them again.
     */
    private void awaitRecords(List<NodeId> nodes) {
        if (nodes.isEmpty()) {
            return;
        }
        log.event("records-missing").with("nodes", nodes.size()).write();
        timers.schedule(RECORD_TIMEOUT_MILLISECONDS, () -> removeMissing(nodes));
    }

    private void removeMissing(List<NodeId> nodes) {
        List<NodeId> missing = new ArrayList<>();
        for (NodeId node : nodes) {
            FleetTarget target = targets.get(node);
            if (target == null || storedNodes.contains(node)) {
                continue;
            }
            if (target.link().isUp()) {
                missing.add(node);
            } else {
                remove(node);
            }
        }
        awaitRecords(missing);
    }

    /** Whether the row is of a node that left before the store returned from an older copy. */
    public boolean hasReturned(StoredRow row) {
        return !row.removed()
                && !DepartureRecords.isDeparture(row)
                && parse(row).map(formerMembers::hasReturned).orElse(false);
    }

    private void onLeft(NodeId node) {
        find(node).ifPresent(target -> formerMembers.onLeft(node, target.member()));
        remove(node);
    }

    @Override
    public void onChange(StoredRow row) {
        if (row.key().isEmpty() || DepartureRecords.isDeparture(row)) {
            return;
        }
        NodeId node = new NodeId(row.key());
        if (row.removed()) {
            onLeft(node);
            return;
        }
        if (hasReturned(row)) {
            log.event("former-member-returned").with("node", node).write();
            return;
        }
        storedNodes.add(node);
        parse(row)
                .filter(member -> member.getNodeId().equals(node.value()))
                .ifPresent(this::applyReceived);
    }

    private Optional<FleetMember> parse(StoredRow row) {
        try {
            return Optional.of(FleetMember.parseFrom(row.value()));
        } catch (InvalidProtocolBufferException invalid) {
            log.event("row-unreadable")
                    .with("key", row.key())
                    .with("cause", invalid.getMessage())
                    .write();
            return Optional.empty();
        }
    }

    /** Merges records that a peer sent; each replaces only an older one. */
    public void merge(Collection<FleetMember> records) {
        for (FleetMember member : records) {
            if (member.getNodeId().isEmpty()) {
                continue;
            }
            FleetTarget known = targets.get(new NodeId(member.getNodeId()));
            if (known == null || isNewer(member, known.member())) {
                applyReceived(member);
            }
        }
    }

    private void applyReceived(FleetMember member) {
        try {
            apply(member);
        } catch (IllegalArgumentException invalid) {
            log.event("member-unusable")
                    .with("node", member.getNodeId())
                    .with("cause", invalid.getMessage())
                    .write();
        }
    }

    /**
     * Handles the hello of the node at an address. If its id differs, the expected node is removed.
     *
     * @return whether it is the node that was expected at that address
     */
    public boolean onHello(NodeId expected, LinkHello hello) {
        if (!hello.getNodeId().equals(expected.value())) {
            log.event("address-reused")
                    .with("node", expected)
                    .with("found", hello.getNodeId())
                    .write();
            storedNodes.remove(expected);
            drop(expected).ifPresent(target -> target.link().close());
            return false;
        }
        find(expected).ifPresent(target -> target.updateLoad(hello.getLoad(), timers.now()));
        return true;
    }

    private void apply(FleetMember member) {
        NodeId node = new NodeId(member.getNodeId());
        if (node.equals(self)) {
            return;
        }
        if (member.getDeparted()) {
            onLeft(node);
            return;
        }
        if (formerMembers.hasReturned(member)) {
            return;
        }
        Optional<InetSocketAddress> address = address(member.getAddress());
        if (address.isEmpty() || member.getService().isEmpty()) {
            log.event("member-unusable").with("node", node).write();
            return;
        }
        FleetTarget known = targets.get(node);
        boolean sameAddress =
                known != null && known.member().getAddress().equals(member.getAddress());
        if (sameAddress && known.member().getService().equals(member.getService())) {
            known.member(member);
            return;
        }
        drop(node).ifPresent(retiredLinks::retire);
        formerMembers.onJoined(node);
        CallLink link =
                retiredLinks
                        .reinstate(node, member.getAddress())
                        .orElseGet(() -> linkFactory.link(node, address.get()));
        TargetEstimate estimate =
                new TargetEstimate(proximity(member), member.getSlots(), timers.now());
        put(new FleetTarget(node, member, estimate, link, leavingUpstreams));
        log.event("member-added")
                .with("node", node)
                .with("service", member.getService())
                .with("address", member.getAddress())
                .with("members", targets.size())
                .write();
    }

    private void put(FleetTarget target) {
        targets.put(target.node(), target);
        digest += target.digest();
        byService
                .computeIfAbsent(
                        new ServiceName(target.member().getService()), service -> new ArrayList<>())
                .add(target);
    }

    private void remove(NodeId node) {
        storedNodes.remove(node);
        drop(node).ifPresent(retiredLinks::retire);
    }

    /**
     * Removes a node, to which no more calls are sent; what becomes of its link is up to the
     * caller.
     */
    private Optional<FleetTarget> drop(NodeId node) {
        if (node.equals(self)) {
            return Optional.empty();
        }
        Optional<FleetTarget> dropped = Optional.ofNullable(targets.remove(node));
        dropped.ifPresent(
                target -> {
                    digest -= target.digest();
                    byService.get(new ServiceName(target.member().getService())).remove(target);
                    log.event("member-removed")
                            .with("node", node)
                            .with("members", targets.size())
                            .write();
                });
        return dropped;
    }

    private Proximity proximity(FleetMember member) {
        if (!member.getRegion().equals(region.value())) {
            return Proximity.REMOTE;
        }
        boolean sameDataCentre = member.getDataCentre().equals(dataCentre.value());
        return sameDataCentre ? Proximity.DATA_CENTRE : Proximity.REGION;
    }

    private static boolean isNewer(FleetMember candidate, FleetMember known) {
        if (candidate.getIncarnation() != known.getIncarnation()) {
            return candidate.getIncarnation() > known.getIncarnation();
        }
        return candidate.getRevision() > known.getRevision();
    }

    private static Optional<InetSocketAddress> address(String text) {
        try {
            return Optional.of(Addresses.parse(text));
        } catch (IllegalArgumentException invalid) {
            return Optional.empty();
        }
    }
}
