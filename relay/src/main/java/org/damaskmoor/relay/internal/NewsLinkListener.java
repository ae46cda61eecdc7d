package org.damaskmoor.relay.internal;

import java.util.List;
import java.util.function.Consumer;
import org.damaskmoor.core.id.NodeId;
import org.damaskmoor.relay.internal.link.CallOutcomes;
import org.damaskmoor.relay.internal.link.LinkListener;
import org.damaskmoor.schema.link.FleetNews;
import org.damaskmoor.schema.link.ForwardedCall;
import org.damaskmoor.schema.link.LinkHello;

/** Takes news from whichever node is at an address. Confined to the event loop. */
final class NewsLinkListener implements LinkListener {
    private final Consumer<FleetNews> news;

    NewsLinkListener(Consumer<FleetNews> news) {
        this.news = news;
    }

    @Override
    public CallOutcomes outcomes(NodeId target) {
        throw new IllegalStateException("No call is sent over a link for news.");
    }

    @Override
    public void greeted(NodeId target, LinkHello hello) {
        if (hello.hasMember()) {
            news.accept(FleetNews.newBuilder().addMembers(hello.getMember()).build());
        }
    }

    @Override
    public void unsent(NodeId target, List<ForwardedCall> calls) {
        // No call is sent.
    }

    @Override
    public void lost(NodeId target) {
        // Opened again when the next question is asked.
    }

    @Override
    public void news(FleetNews told) {
        news.accept(told);
    }
}
