package org.damaskmoor.node.internal.accounting;

import java.net.URI;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;
import org.damaskmoor.core.accounting.RefusalBatchSender;
import org.damaskmoor.core.id.DataCentreName;
import org.damaskmoor.core.id.Incarnation;
import org.damaskmoor.core.id.NodeId;
import org.damaskmoor.core.id.RegionName;
import org.damaskmoor.mesh.MeshTransport;
import org.damaskmoor.node.internal.eventloop.EventLoopThread;
import org.damaskmoor.node.internal.members.MemberDirectory;
import org.damaskmoor.platform.PlatformClient;
import org.damaskmoor.schema.mesh.MeshFrame;
import org.damaskmoor.schema.settings.NodeSettings;

/** Creates the accounting of a node from its settings. Stateless and thread-safe. */
public final class AccountingFactory {
    private AccountingFactory() {}

    /**
     * Creates accounting that is not started.
     *
     * @param callerLoop the caller event loop
     * @param accountingLoop the event loop reserved for accounting
     * @param platform provides the object store
     */
    public static AccountingManager create(
            NodeSettings settings,
            Incarnation incarnation,
            EventLoopThread callerLoop,
            EventLoopThread accountingLoop,
            MemberDirectory members,
            MeshTransport mesh,
            PlatformClient platform) {
        AccountingDependencies dependencies =
                new AccountingDependencies(
                        System::nanoTime,
                        System::currentTimeMillis,
                        callerLoop::execute,
                        accountingLoop::execute,
                        accountingLoop.timers(),
                        new AccountingPeers(
                                members,
                                new DataCentreName(settings.getDataCentre()),
                                new RegionName(settings.getRegion())),
                        sender(members, mesh),
                        platform.objectStore(URI.create(settings.getObjectStoreUrl())),
                        TimeUnit.SECONDS.toNanos(settings.getAccountingFlushSeconds()),
                        new SplittableRandom());
        return new AccountingManager(new NodeId(settings.getNodeId()), incarnation, dependencies);
    }

    private static RefusalBatchSender sender(MemberDirectory members, MeshTransport mesh) {
        return (peer, batch) -> {
            MeshFrame frame = MeshFrame.newBuilder().setRefusalBatch(batch).build();
            members.peer(peer).ifPresent(meshPeer -> mesh.send(meshPeer, frame));
        };
    }
}
