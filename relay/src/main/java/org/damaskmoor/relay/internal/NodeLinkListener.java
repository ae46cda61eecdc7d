package org.damaskmoor.relay.internal;

import java.util.List;
import java.util.function.Consumer;
import java.util.function.Supplier;
import org.damaskmoor.core.id.NodeId;
import org.damaskmoor.relay.internal.entry.EntryRequestHandler;
import org.damaskmoor.relay.internal.fleet.FleetDirectory;
import org.damaskmoor.relay.internal.link.CallLink;
import org.damaskmoor.relay.internal.link.CallOutcomeListener;
import org.damaskmoor.relay.internal.link.LinkListener;
import org.damaskmoor.relay.internal.quota.NodeQuotas;
import org.damaskmoor.schema.link.FleetNews;
import org.damaskmoor.schema.link.ForwardedCall;
import org.damaskmoor.schema.link.LinkHello;
import org.damaskmoor.schema.link.QuotaGrant;
import org.damaskmoor.schema.link.QuotaReport;

/**
 * Passes what links to targets report to the entry and the fleet directory. Confined to the event
 * loop.
 */
final class NodeLinkListener implements LinkListener {
    private final Supplier<EntryRequestHandler> entry;
    private final Supplier<FleetDirectory> fleet;
    private final Consumer<FleetNews> fleetNewsConsumer;
    private final Supplier<NodeQuotas> quotas;

    NodeLinkListener(
            Supplier<EntryRequestHandler> entry,
            Supplier<FleetDirectory> fleet,
            Consumer<FleetNews> fleetNewsConsumer,
            Supplier<NodeQuotas> quotas) {
        this.entry = entry;
        this.fleet = fleet;
        this.fleetNewsConsumer = fleetNewsConsumer;
        this.quotas = quotas;
    }

    @Override
    public CallOutcomeListener outcomeListener(NodeId target) {
        return entry.get().outcomeListener(target);
    }

    @Override
    public void onHello(NodeId target, LinkHello hello) {
        fleet.get().onHello(target, hello);
        if (hello.hasMember()) {
            fleetNewsConsumer.accept(FleetNews.newBuilder().addMembers(hello.getMember()).build());
        }
    }

    @Override
    public void onUnsent(NodeId target, List<ForwardedCall> calls) {
        entry.get().onUnsent(calls);
    }

    @Override
    public void onLinkLost(CallLink link) {
        entry.get().onLinkLost(link);
    }

    @Override
    public void onQuotaGrant(NodeId target, QuotaGrant grant) {
        quotas.get().onAcknowledged(target, grant);
    }

    @Override
    public void onQuotaReport(NodeId target, QuotaReport answer) {
        quotas.get().onProbeAnswered(target, answer);
    }

    @Override
    public void onFleetNews(FleetNews received) {
        fleetNewsConsumer.accept(received);
    }
}
