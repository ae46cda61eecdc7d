package org.damaskmoor.relay.internal;

import java.util.Optional;
import java.util.function.Consumer;
import java.util.function.Function;
import java.util.function.Supplier;
import org.damaskmoor.relay.internal.link.CallOutcomeListener;
import org.damaskmoor.relay.internal.link.EntryId;
import org.damaskmoor.relay.internal.link.IncomingLinkHandler;
import org.damaskmoor.relay.internal.quota.NodeQuotas;
import org.damaskmoor.relay.internal.target.TargetCallHandler;
import org.damaskmoor.schema.link.CallCancel;
import org.damaskmoor.schema.link.CallSeal;
import org.damaskmoor.schema.link.FleetNews;
import org.damaskmoor.schema.link.FleetRequest;
import org.damaskmoor.schema.link.ForwardedCall;
import org.damaskmoor.schema.link.LinkHello;
import org.damaskmoor.schema.link.QuotaGrant;
import org.damaskmoor.schema.link.QuotaReport;
import org.damaskmoor.schema.link.ReaderSign;

/**
 * Passes what other nodes send to the target, the fleet directory and the store reader. Confined to
 * the event loop.
 */
final class NodeIncomingLinkHandler implements IncomingLinkHandler {
    private final TargetCallHandler target;
    private final Supplier<LinkHello> hello;
    private final Function<FleetRequest, FleetNews> fleetNewsFactory;
    private final Consumer<FleetNews> fleetNewsConsumer;
    private final Consumer<ReaderSign> heartbeatConsumer;
    private final NodeQuotas quotas;

    NodeIncomingLinkHandler(
            TargetCallHandler target,
            Supplier<LinkHello> hello,
            Function<FleetRequest, FleetNews> fleetNewsFactory,
            Consumer<FleetNews> fleetNewsConsumer,
            Consumer<ReaderSign> heartbeatConsumer,
            NodeQuotas quotas) {
        this.target = target;
        this.hello = hello;
        this.fleetNewsFactory = fleetNewsFactory;
        this.fleetNewsConsumer = fleetNewsConsumer;
        this.heartbeatConsumer = heartbeatConsumer;
        this.quotas = quotas;
    }

    @Override
    public LinkHello createHello(EntryId entry, CallOutcomeListener outcomeListener) {
        return hello.get();
    }

    @Override
    public void onCall(EntryId entry, ForwardedCall call, CallOutcomeListener outcomeListener) {
        target.onCall(entry, call, outcomeListener);
    }

    @Override
    public void onSeal(EntryId entry, CallSeal seal, CallOutcomeListener outcomeListener) {
        target.onSeal(entry, seal, outcomeListener);
    }

    @Override
    public void onCancel(EntryId entry, CallCancel cancel) {
        target.onCancel(entry, cancel);
    }

    @Override
    public void onLinkClosed(EntryId entry, CallOutcomeListener outcomeListener) {
        target.onLinkClosed(outcomeListener);
    }

    @Override
    public FleetNews createFleetNews(FleetRequest request) {
        return fleetNewsFactory.apply(request);
    }

    @Override
    public void onFleetNews(FleetNews received) {
        fleetNewsConsumer.accept(received);
    }

    @Override
    public Optional<QuotaGrant> onQuotaReport(EntryId entry, QuotaReport report) {
        return quotas.onReport(entry.node(), report);
    }

    @Override
    public Optional<QuotaReport> onQuotaGrant(EntryId coordinator, QuotaGrant grant) {
        return quotas.onGrant(coordinator.node(), grant);
    }

    @Override
    public void onReaderSign(ReaderSign sign) {
        heartbeatConsumer.accept(sign);
    }
}
