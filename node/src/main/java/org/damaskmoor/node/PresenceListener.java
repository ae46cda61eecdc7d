package org.damaskmoor.node;

import com.google.common.flogger.FluentLogger;
import org.damaskmoor.core.id.NodeId;
import org.damaskmoor.node.internal.accounting.AccountingDuty;
import org.damaskmoor.node.internal.configuration.ConfigurationDuty;
import org.damaskmoor.node.internal.entry.EntryDuty;
import org.damaskmoor.node.internal.members.MembershipDuty;
import org.damaskmoor.schema.gossip.MemberRecord;

/** Passes on what membership finds to the other duties. Called on the control event loop. */
final class PresenceListener implements MembershipDuty.MembershipListener {
    private static final FluentLogger logger = FluentLogger.forEnclosingClass();

    private final NodeId self;
    private final EntryDuty entry;
    private final AccountingDuty accounting;
    private final ConfigurationDuty configuration;

    PresenceListener(
            NodeId self,
            EntryDuty entry,
            AccountingDuty accounting,
            ConfigurationDuty configuration) {
        this.self = self;
        this.entry = entry;
        this.accounting = accounting;
        this.configuration = configuration;
    }

    @Override
    public void onPublished() {
        entry.onMembers();
    }

    @Override
    public void onPresent(MemberRecord member) {
        accounting.onPresent(member);
    }

    @Override
    public void onGone(MemberRecord member) {
        accounting.onGone(member);
        configuration.forget(new NodeId(member.getNodeId()));
    }

    @Override
    public void onSuperseded() {
        logger.atSevere().log("event=node-superseded node=%s", self);
    }
}
