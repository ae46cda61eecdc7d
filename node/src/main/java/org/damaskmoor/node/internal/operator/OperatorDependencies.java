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
 * The parts of a node that operators' calls reach. Immutable and thread-safe.
 *
 * @param self this node
 * @param control runs tasks on the control event loop
 * @param configuration carries changes out, on that loop
 * @param membership the nodes, on that loop
 * @param members where other nodes are
 * @param entry explains where requests go
 * @param target the upstream's side
 * @param table the platform's table of services
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

    /** The service that answers operators with these parts. */
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
