package org.damaskmoor.node.internal.operator;

import java.util.concurrent.Executor;
import org.damaskmoor.core.id.NodeId;
import org.damaskmoor.core.membership.MembershipProtocol;
import org.damaskmoor.node.internal.NodeParameters;
import org.damaskmoor.node.internal.configuration.ConfigurationDuty;
import org.damaskmoor.node.internal.entry.EntryDuty;
import org.damaskmoor.node.internal.members.MemberDirectory;
import org.damaskmoor.node.internal.target.TargetDuty;

/**
 * The parts of a node that operators' calls reach. Immutable and thread-safe.
 *
 * @param control runs tasks on the control event loop
 * @param configuration carries changes out, on that loop
 * @param membership the nodes, on that loop
 * @param members where other nodes are
 * @param entry explains where requests go
 * @param target the upstream's side
 */
public record OperatorParts(
        Executor control,
        ConfigurationDuty configuration,
        MembershipProtocol membership,
        MemberDirectory members,
        EntryDuty entry,
        TargetDuty target) {

    /** The server that answers operators with these parts, not yet started. */
    public OperatorServer server(NodeParameters parameters) {
        return new OperatorServer(
                parameters.operatorAddress(), parameters.operatorSecurity(), service());
    }

    private OperatorService service() {
        return new OperatorService(
                new ServiceCalls(control, configuration, System::currentTimeMillis),
                new StatusCall(
                        control,
                        membership,
                        configuration,
                        target::lastLoad,
                        configuration::probeTable),
                new DrainCall(new NodeId(membership.self().getNodeId()), members, target::drain),
                new ExplainCall(entry::explain));
    }
}
