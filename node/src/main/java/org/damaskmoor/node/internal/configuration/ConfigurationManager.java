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
 * Keeps the configuration of this node up to date and applies operators' changes.
 *
 * <p>Confined to the control event loop, except {@link #matcher} and {@link #isReady}, which are
 * thread-safe.
 */
public final class ConfigurationManager {
    private static final FluentLogger logger = FluentLogger.forEnclosingClass();

    private final Executor control;
    private final MemberDirectory members;
    private final MeshTransport mesh;
    private final ConfigurationStore store;
    private final ConfigurationPuller puller;
    private final ConfigurationBootstrap bootstrap;
    private final ConfigurationChanger changer;
    private final PeerConfigurationTracker peers = new PeerConfigurationTracker();
    private final Consumer<ConfigurationVersion> broadcast;
    private final Consumer<ServiceMatcher> onChange;
    private volatile ServiceMatcher matcher = ServiceMatcher.of(List.of());
    private volatile boolean ready;

    /**
     * Creates a manager without configuration.
     *
     * @param control runs tasks on the control event loop
     * @param members provides the addresses of other nodes
     * @param mesh transport to other nodes
     * @param table the platform's table of services
     * @param broadcast announces a new version to all nodes
     * @param onChange called with each new state of the configuration, on the control event loop
     */
    public ConfigurationManager(
            Executor control,
            MemberDirectory members,
            MeshTransport mesh,
            ServiceTable table,
            Consumer<ConfigurationVersion> broadcast,
            Consumer<ServiceMatcher> onChange) {
        this.control = control;
        this.members = members;
        this.mesh = mesh;
        this.broadcast = broadcast;
        this.onChange = onChange;
        store = new ConfigurationStore(this::onAccepted);
        puller = new ConfigurationPuller(store, this::sendRequest, table, control);
        bootstrap = new ConfigurationBootstrap(store, this::sendRequest, table, control);
        changer =
                new ConfigurationChanger(
                        table,
                        new ConfigurationValidator(),
                        accepted -> control.execute(() -> store.accept(accepted)));
    }

    /**
     * Creates the extension that carries configuration versions and crash records on the membership
     * protocol's datagrams.
     */
    public ConfigurationGossip createGossip(
            BiConsumer<NodeId, List<ConfigurationVersion>> sender,
            java.util.function.Predicate<QuarantineRecord> quarantine) {
        return new ConfigurationGossip(store, puller, peers, sender, quarantine);
    }

    /** The services in force at this node. Any thread. */
    public ServiceMatcher matcher() {
        return matcher;
    }

    /**
     * Whether this node has the newest configuration that its peers and the table could provide.
     * Any thread.
     */
    public boolean isReady() {
        return ready;
    }

    /** All configurations at this node. */
    public List<VersionedConfiguration> all() {
        return store.all();
    }

    /** The configuration of a service, also if the service was deleted. */
    public Optional<VersionedConfiguration> find(ServiceName service) {
        return store.find(service);
    }

    /** How the configurations of other nodes compare with this node's. */
    public PeerConfigurationTracker peers() {
        return peers;
    }

    /** Applies an operator's change. */
    public CompletableFuture<ChangeOutcome> change(ChangeRequest request) {
        return changer.apply(request, store.all());
    }

    /** Requests all configurations from peers and the table. */
    public void requestAll(List<NodeId> nearestPeers, long nowMilliseconds) {
        bootstrap.requestAll(nearestPeers, nowMilliseconds);
    }

    /** Sends requests that are due; call it every 100 milliseconds. */
    public void tick(List<NodeId> nearestPeers, double random, long nowMilliseconds) {
        puller.tick(nowMilliseconds);
        bootstrap.tick(nearestPeers, random, nowMilliseconds);
        if (!ready && bootstrap.isReady(nowMilliseconds)) {
            ready = true;
            logger.atInfo().log("event=configuration-ready services=%d", store.all().size());
        }
    }

    /** Handles a request or an answer from a peer. */
    public void onFrame(MeshLink link, MeshFrame frame) {
        if (frame.hasConfigurationRequest()) {
            sendAnswer(link, frame.getConfigurationRequest());
        } else {
            puller.onAnswer(link.peer(), frame.getConfigurationAnswer());
            bootstrap.onAnswer(link.peer());
        }
    }

    /** Handles a request that could not be sent. */
    public void onUnsent(NodeId peer) {
        puller.onFailure(peer);
        bootstrap.onFailure(peer);
    }

    /** Removes the state of a member that is dead or has left. */
    public void forget(NodeId peer) {
        peers.forget(peer);
    }

    private void sendAnswer(MeshLink link, ConfigurationRequest request) {
        link.send(
                MeshFrame.newBuilder()
                        .setConfigurationAnswer(
                                ConfigurationPuller.answer(store, request.getServicesList()))
                        .build());
    }

    private void sendRequest(NodeId peer, List<String> services) {
        MeshFrame frame =
                MeshFrame.newBuilder()
                        .setConfigurationRequest(
                                ConfigurationRequest.newBuilder().addAllServices(services))
                        .build();
        members.peer(peer)
                .ifPresentOrElse(
                        (MeshPeer meshPeer) -> mesh.send(meshPeer, frame),
                        () -> control.execute(() -> onUnsent(peer)));
    }

    private void onAccepted(VersionedConfiguration accepted) {
        matcher = ServiceMatcher.of(store.all());
        peers.onOwnDigest(store.digest());
        broadcast.accept(ConfigurationStore.versionOf(accepted));
        onChange.accept(matcher);
        logger.atInfo().log(
                "event=configuration-in-force service=%s version=%d changed_by=%s",
                accepted.getService().getName(), accepted.getVersion(), accepted.getChangedBy());
    }
}
