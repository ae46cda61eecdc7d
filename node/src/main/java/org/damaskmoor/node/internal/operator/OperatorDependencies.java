package org.damaskmoor.node.internal.operator;

import java.util.concurrent.Executor;
import org.damaskmoor.core.configuration.ServiceTable;
import org.damaskmoor.core.id.NodeId;
import org.damaskmoor.core.id.ServiceName;
import org.damaskmoor.core.membership.MembershipProtocol;
import org.damaskmoor.node.internal.configuration.ConfigurationManager;
import org.damaskmoor.node.internal.entry.EntryProxy;
import org.damaskmoor.node.internal.members.MemberDirectory;
import org.damaskmoor.node.internal.target.TargetProxy;

/**
 * Components of a node that handle operators' calls. Immutable and thread-safe.
 *
 * @param self this node
 * @param control runs tasks on the control event loop
 * @param configuration applies configuration changes; used on that loop only
 * @param membership the known nodes; used on that loop only
 * @param members directory of the other nodes' addresses
 * @param entry explains how requests are routed
 * @param target load and draining of this node's upstream
 * @param table the table of services at the platform
 */
public record OperatorDependencies(
        NodeId self,
        Executor control,
        ConfigurationManager configuration,
        MembershipProtocol membership,
        MemberDirectory members,
        EntryProxy entry,
        TargetProxy target,
        ServiceTable table) {
    private static final ServiceName PROBED_SERVICE = new ServiceName("status-probe");

    /** Creates the gRPC service of these components. */
    public OperatorService createService() {
        return new OperatorService(
                new ServiceHandler(control, configuration, System::currentTimeMillis),
                new StatusHandler(
                        control,
                        membership,
                        configuration,
                        target::lastLoad,
                        () -> table.read(PROBED_SERVICE)),
                new DrainHandler(self, members, target::drain),
                new ExplainHandler(entry::explain));
    }
}
