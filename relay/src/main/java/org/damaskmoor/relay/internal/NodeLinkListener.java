package org.damaskmoor.relay.internal;

import java.util.List;
import java.util.function.Consumer;
import java.util.function.Supplier;
import org.damaskmoor.core.id.NodeId;
import org.damaskmoor.relay.internal.entry.EntryDesk;
import org.damaskmoor.relay.internal.fleet.FleetDirectory;
import org.damaskmoor.relay.internal.link.CallOutcomes;
import org.damaskmoor.relay.internal.link.LinkListener;
import org.damaskmoor.schema.link.FleetNews;
import org.damaskmoor.schema.link.ForwardedCall;
import org.damaskmoor.schema.link.LinkHello;

/** Leads what links to targets tell to the entry and the directory. Confined to the event loop. */
final class NodeLinkListener implements LinkListener {
    private final Supplier<EntryDesk> entry;
    private final Supplier<FleetDirectory> fleet;
    private final Consumer<FleetNews> news;

    NodeLinkListener(
            Supplier<EntryDesk> entry, Supplier<FleetDirectory> fleet, Consumer<FleetNews> news) {
        this.entry = entry;
        this.fleet = fleet;
        this.news = news;
    }

    @Override
    public CallOutcomes outcomes(NodeId target) {
        return entry.get().outcomes(target);
    }

    @Override
    public void greeted(NodeId target, LinkHello hello) {
        fleet.get().greeted(target, hello);
        if (hello.hasMember()) {
            news.accept(FleetNews.newBuilder().addMembers(hello.getMember()).build());
        }
    }

    @Override
    public void unsent(NodeId target, List<ForwardedCall> calls) {
        entry.get().unsent(calls);
    }

    @Override
    public void lost(NodeId target) {
        entry.get().lost(target);
    }

    @Override
    public void news(FleetNews told) {
        news.accept(told);
    }
}
