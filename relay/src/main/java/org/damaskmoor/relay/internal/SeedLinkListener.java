package org.damaskmoor.relay.internal;

import java.util.List;
import java.util.function.Consumer;
import org.damaskmoor.core.id.NodeId;
import org.damaskmoor.relay.internal.link.CallLink;
import org.damaskmoor.relay.internal.link.CallOutcomeListener;
import org.damaskmoor.relay.internal.link.LinkListener;
import org.damaskmoor.schema.link.FleetNews;
import org.damaskmoor.schema.link.ForwardedCall;
import org.damaskmoor.schema.link.LinkHello;

/**
 * Receives members, configuration and crash records from the node at a seed's address, whatever its
 * id is. Confined to the event loop.
 */
final class SeedLinkListener implements LinkListener {
    private final Consumer<FleetNews> fleetNewsConsumer;

    SeedLinkListener(Consumer<FleetNews> fleetNewsConsumer) {
        this.fleetNewsConsumer = fleetNewsConsumer;
    }

    @Override
    public CallOutcomeListener outcomeListener(NodeId target) {
        throw new IllegalStateException(
                "A link to a seed carries no calls, so it has no call outcomes.");
    }

    @Override
    public void onHello(NodeId target, LinkHello hello) {
        if (hello.hasMember()) {
            fleetNewsConsumer.accept(FleetNews.newBuilder().addMembers(hello.getMember()).build());
        }
    }

    @Override
    public void onUnsent(NodeId target, List<ForwardedCall> calls) {
        // No call is sent over this link.
    }

    @Override
    public void onLinkLost(CallLink link) {
        // The link is opened again for the next request.
    }

    @Override
    public void onFleetNews(FleetNews received) {
        fleetNewsConsumer.accept(received);
    }
}
