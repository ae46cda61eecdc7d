package org.damaskmoor.node;

import com.google.common.flogger.FluentLogger;
import org.damaskmoor.core.id.NodeId;
import org.damaskmoor.node.internal.accounting.AccountingManager;
import org.damaskmoor.node.internal.configuration.ConfigurationManager;
import org.damaskmoor.node.internal.entry.EntryProxy;
import org.damaskmoor.node.internal.members.MembershipManager;
import org.damaskmoor.schema.gossip.MemberRecord;

/** Forwards membership changes to the other components. Called on the control event loop. */
final class MembershipEventForwarder implements MembershipManager.MembershipListener {
    private static final FluentLogger logger = FluentLogger.forEnclosingClass();

    private final NodeId self;
    private final EntryProxy entry;
    private final AccountingManager accounting;
    private final ConfigurationManager configuration;

    MembershipEventForwarder(
            NodeId self,
            EntryProxy entry,
            AccountingManager accounting,
            ConfigurationManager configuration) {
        this.self = self;
        this.entry = entry;
        this.accounting = accounting;
        this.configuration = configuration;
    }

    @Override
    public void onDirectoryPublished() {
        entry.onMembersChanged();
    }

    @Override
    public void onMemberPresent(MemberRecord member) {
        accounting.onMemberPresent(member);
    }

    @Override
    public void onMemberRemoved(MemberRecord member) {
        accounting.onMemberRemoved(member);
        configuration.forget(new NodeId(member.getNodeId()));
    }

    @Override
    public void onSuperseded() {
        logger.atSevere().log("event=node-superseded node=%s", self);
    }
}
