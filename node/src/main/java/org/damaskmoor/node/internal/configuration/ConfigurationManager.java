package org.damaskmoor.node.internal.configuration;

import com.google.common.flogger.FluentLogger;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Executor;
import java.util.function.BiConsumer;
import java.util.function.Consumer;
import org.damaskmoor.core.configuration.ChangeOutcome;
import org.damaskmoor.core.configuration.ChangeRequest;
import org.damaskmoor.core.configuration.ConfigurationBootstrap;
import org.damaskmoor.core.configuration.ConfigurationChanger;
import org.damaskmoor.core.configuration.ConfigurationGossip;
import org.damaskmoor.core.configuration.ConfigurationPuller;
import org.damaskmoor.core.configuration.ConfigurationStore;
import org.damaskmoor.core.configuration.ConfigurationValidator;
import org.damaskmoor.core.configuration.PeerConfigurationTracker;
import org.damaskmoor.core.configuration.ServiceMatcher;
import org.damaskmoor.core.configuration.ServiceTable;
import org.damaskmoor.core.id.NodeId;
import org.damaskmoor.core.id.ServiceName;
import org.damaskmoor.mesh.MeshLink;
import org.damaskmoor.mesh.MeshPeer;
import org.damaskmoor.mesh.MeshTransport;
import org.damaskmoor.node.internal.members.MemberDirectory;
import org.damaskmoor.schema.configuration.VersionedConfiguration;
import org.damaskmoor.schema.gossip.ConfigurationVersion;
import org.damaskmoor.schema.gossip.QuarantineRecord;
import org.damaskmoor.schema.mesh.ConfigurationRequest;
import org.damaskmoor.schema.mesh.MeshFrame;

/**
 * Keeps the configuration of this node current and carries out operators' changes.
 *
 * <p>Confined to the control event loop, but for {@link #matcher} and {@link #isReady}, which any
 * thread may call.
 */
public final class ConfigurationManager {
    private static final FluentLogger logger = FluentLogger.forEnclosingClass();

    private final Executor control;
    private final MemberDirectory members;
    private final MeshTransport mesh;
    private final ConfigurationStore store;
    private final ConfigurationPuller puller;
    private final ConfigurationBootstrap start;
    private final ConfigurationChanger changer;
    private final PeerConfigurationTracker peers = new PeerConfigurationTracker();
    private final Consumer<ConfigurationVersion> spread;
    private final Consumer<ServiceMatcher> onChange;
    private volatile ServiceMatcher matcher = ServiceMatcher.of(List.of());
    private volatile boolean ready;

    /**
     * Creates the duty.
     *
     * @param control runs tasks on the control event loop
     * @param members where other nodes are
     * @param mesh asks them
     * @param table the platform's table of services
     * @param spread tells all nodes that a version exists
     * @param onChange told of each new state of the configuration, on the control event loop
     */
    public ConfigurationManager(
            Executor control,
            MemberDirectory members,
            MeshTransport mesh,
            ServiceTable table,
            Consumer<ConfigurationVersion> spread,
            Consumer<ServiceMatcher> onChange) {
        this.control = control;
        this.members = members;
        this.mesh = mesh;
        this.spread = spread;
        this.onChange = onChange;
        store = new ConfigurationStore(this::onAccepted);
        puller = new ConfigurationPuller(store, this::request, table, control);
        start = new ConfigurationBootstrap(store, this::request, table, control);
        changer =
                new ConfigurationChanger(
                        table,
                        new ConfigurationValidator(),
                        accepted -> control.execute(() -> store.accept(accepted)));
    }

    /** What rides on the membership protocol's datagrams. */
    public ConfigurationGossip createGossip(
            BiConsumer<NodeId, List<ConfigurationVersion>> teller,
            java.util.function.Predicate<QuarantineRecord> quarantine) {
        return new ConfigurationGossip(store, puller, peers, teller, quarantine);
    }

    /** The services in force here. Any thread. */
    public ServiceMatcher matcher() {
        return matcher;
    }

    /** Whether this node holds the newest of what peers and table could give. Any thread. */
    public boolean isReady() {
        return ready;
    }

    /** All that is held here. */
    public List<VersionedConfiguration> all() {
        return store.all();
    }

    /** What is held of a service, also when it was deleted. */
    public Optional<VersionedConfiguration> find(ServiceName service) {
        return store.find(service);
    }

    /** How other nodes' configurations stand to this one's. */
    public PeerConfigurationTracker peers() {
        return peers;
    }

    /** Carries out an operator's change. */
    public CompletableFuture<ChangeOutcome> change(ChangeRequest request) {
        return changer.apply(request, store.all());
    }

    /** Asks peers and table for everything. */
    public void requestAll(List<NodeId> nearestPeers, long nowMilliseconds) {
        start.requestAll(nearestPeers, nowMilliseconds);
    }

    /** Does what is due; call it every 100 milliseconds. */
    public void tick(List<NodeId> nearestPeers, double turn, long nowMilliseconds) {
        puller.tick(nowMilliseconds);
        start.tick(nearestPeers, turn, nowMilliseconds);
        if (!ready && start.isReady(nowMilliseconds)) {
            ready = true;
            logger.atInfo().log("event=configuration-ready services=%d", store.all().size());
        }
    }

    /** Takes a question or an answer from a peer. */
    public void onFrame(MeshLink link, MeshFrame frame) {
        if (frame.hasConfigurationRequest()) {
            answer(link, frame.getConfigurationRequest());
        } else {
            puller.onAnswer(link.peer(), frame.getConfigurationAnswer());
            start.onAnswer(link.peer());
        }
    }

    /** A question could not be sent. */
    public void onUnsent(NodeId peer) {
        puller.onFailure(peer);
        start.onFailure(peer);
    }

    /** A member is gone. */
    public void forget(NodeId peer) {
        peers.forget(peer);
    }

    private void answer(MeshLink link, ConfigurationRequest request) {
        link.send(
                MeshFrame.newBuilder()
                        .setConfigurationAnswer(
                                ConfigurationPuller.answer(store, request.getServicesList()))
                        .build());
    }

    private void request(NodeId peer, List<String> services) {
        MeshFrame frame =
                MeshFrame.newBuilder()
                        .setConfigurationRequest(
                                ConfigurationRequest.newBuilder().addAllServices(services))
                        .build();
        members.peer(peer)
                .ifPresentOrElse(
                        (MeshPeer known) -> mesh.send(known, frame),
                        () -> control.execute(() -> onUnsent(peer)));
    }

    private void onAccepted(VersionedConfiguration accepted) {
        matcher = ServiceMatcher.of(store.all());
        peers.onOwnDigest(store.digest());
        spread.accept(ConfigurationStore.versionOf(accepted));
        onChange.accept(matcher);
        logger.atInfo().log(
                "event=configuration-in-force service=%s version=%d changed_by=%s",
                accepted.getService().getName(), accepted.getVersion(), accepted.getChangedBy());
    }
}
