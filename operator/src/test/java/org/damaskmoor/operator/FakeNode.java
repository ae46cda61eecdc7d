package org.damaskmoor.operator;

import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.util.List;
import java.util.Optional;
import java.util.SplittableRandom;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import org.damaskmoor.core.configuration.MatchedRule;
import org.damaskmoor.core.id.DataCentreName;
import org.damaskmoor.core.id.Incarnation;
import org.damaskmoor.core.id.NodeId;
import org.damaskmoor.core.id.RegionName;
import org.damaskmoor.core.id.ServiceName;
import org.damaskmoor.core.id.TargetId;
import org.damaskmoor.core.membership.MembershipProtocol;
import org.damaskmoor.core.membership.MembershipSettings;
import org.damaskmoor.core.routing.CandidateEstimate;
import org.damaskmoor.core.routing.Distance;
import org.damaskmoor.core.routing.Target;
import org.damaskmoor.mesh.MeshPeer;
import org.damaskmoor.mesh.MeshTransport;
import org.damaskmoor.node.internal.configuration.ConfigurationManager;
import org.damaskmoor.node.internal.entry.RequestDescription;
import org.damaskmoor.node.internal.entry.RequestExplanation;
import org.damaskmoor.node.internal.members.MemberDirectory;
import org.damaskmoor.node.internal.operator.DrainHandler;
import org.damaskmoor.node.internal.operator.ExplainHandler;
import org.damaskmoor.node.internal.operator.OperatorServer;
import org.damaskmoor.node.internal.operator.OperatorService;
import org.damaskmoor.node.internal.operator.ServiceHandler;
import org.damaskmoor.node.internal.operator.StatusHandler;
import org.damaskmoor.schema.gossip.GossipMessage;
import org.damaskmoor.schema.gossip.MemberRecord;
import org.damaskmoor.schema.gossip.MemberState;
import org.damaskmoor.schema.gossip.Ping;
import org.damaskmoor.schema.mesh.LoadReport;
import org.damaskmoor.schema.mesh.MeshFrame;
import org.damaskmoor.schema.mesh.UpstreamState;

/** A node's operator server with an in-memory service table and no other nodes. */
final class FakeNode implements AutoCloseable {
    static final long CHANGED_AT_EPOCH_MILLISECONDS = 1_700_000_000_000L;
    private static final RegionName REGION = new RegionName("mittelland");
    private static final DataCentreName DATA_CENTRE = new DataCentreName("bern-nord");

    final FakeServiceTable table = new FakeServiceTable();
    private final ExecutorService control = Executors.newSingleThreadExecutor();
    private final MembershipProtocol membership;
    private final OperatorServer server;
    private final String address;

    FakeNode() {
        MemberDirectory members = new MemberDirectory();
        ConfigurationManager configuration =
                new ConfigurationManager(
                        control,
                        members,
                        new DiscardingMeshTransport(),
                        table,
                        version -> {},
                        matcher -> {});
        membership =
                new MembershipProtocol(
                        record("besuch-1"),
                        MembershipSettings.defaults(),
                        (address, message) -> {},
                        event -> {},
                        configuration.createGossip((peer, versions) -> {}, record -> false),
                        new SplittableRandom(1),
                        0);
        OperatorService service =
                new OperatorService(
                        new ServiceHandler(
                                control, configuration, () -> CHANGED_AT_EPOCH_MILLISECONDS),
                        new StatusHandler(
                                control,
                                membership,
                                configuration,
                                LoadReport::getDefaultInstance,
                                () -> table.read(new ServiceName("probe"))),
                        new DrainHandler(new NodeId("besuch-1"), members, () -> {}),
                        new ExplainHandler(FakeNode::explain));
        server =
                new OperatorServer(
                        new InetSocketAddress(InetAddress.getLoopbackAddress(), 0),
                        Optional.empty(),
                        service);
        server.start().join();
        address = "127.0.0.1:" + server.port();
    }

    String address() {
        return address;
    }

    /**
     * Receives gossip of a new node without any configuration, twice: the first message only adds
     * the node.
     */
    void addMemberWithoutConfiguration(String node) {
        GossipMessage message =
                GossipMessage.newBuilder()
                        .setSender(node)
                        .setSenderIncarnation(1)
                        .setPing(Ping.newBuilder().setTarget("besuch-1"))
                        .addNews(record(node))
                        .build();
        InetSocketAddress from = new InetSocketAddress(InetAddress.getLoopbackAddress(), 1);
        CompletableFuture.runAsync(
                        () -> {
                            membership.receive(message, from, 0);
                            membership.receive(message, from, 0);
                        },
                        control)
                .join();
    }

    @Override
    public void close() {
        server.stop().join();
        control.shutdown();
    }

    private static MemberRecord record(String node) {
        return MemberRecord.newBuilder()
                .setNodeId(node)
                .setIncarnation(1)
                .setState(MemberState.ALIVE)
                .setRegion(REGION.value())
                .setDataCentre(DATA_CENTRE.value())
                .setAddress("127.0.0.1")
                .setMeshPort(1)
                .setGossipPort(1)
                .build();
    }

    private static CompletableFuture<Optional<RequestExplanation>> explain(
            RequestDescription request) {
        MatchedRule rule =
                new MatchedRule(
                        "route", "route", false, false, 1, 1, 0, java.util.Set.of("register"));
        Target target =
                new Target(
                        new TargetId(new NodeId("besuch-1"), new Incarnation(1)),
                        REGION,
                        DATA_CENTRE,
                        UpstreamState.SERVING,
                        10);
        CandidateEstimate weight =
                new CandidateEstimate(target, Distance.LOCAL, 2_500_000, 1.5, 1, true);
        return CompletableFuture.completedFuture(
                Optional.of(
                        new RequestExplanation(
                                rule, rule.allows(request.caller()), List.of(weight), false)));
    }

    /** Discards frames, because there are no other nodes. */
    private static final class DiscardingMeshTransport implements MeshTransport {
        @Override
        public void send(MeshPeer peer, MeshFrame frame) {}

        @Override
        public void sendOverLiveConnection(
                MeshPeer peer, MeshFrame frame, long aliveAfterNanoseconds) {}
    }
}
