package org.damaskmoor.relay.internal;

import java.util.function.Consumer;
import java.util.function.Function;
import java.util.function.Supplier;
import org.damaskmoor.relay.internal.link.CallOutcomeListener;
import org.damaskmoor.relay.internal.link.EntryId;
import org.damaskmoor.relay.internal.link.IncomingLinkHandler;
import org.damaskmoor.relay.internal.target.TargetCallHandler;
import org.damaskmoor.schema.link.CallCancel;
import org.damaskmoor.schema.link.CallSeal;
import org.damaskmoor.schema.link.FleetNews;
import org.damaskmoor.schema.link.FleetRequest;
import org.damaskmoor.schema.link.ForwardedCall;
import org.damaskmoor.schema.link.LinkHello;
import org.damaskmoor.schema.link.ReaderSign;

/** Leads what entries send to the target and the directory. Confined to the event loop. */
final class NodeIncomingLinkHandler implements IncomingLinkHandler {
    private final TargetCallHandler target;
    private final Supplier<LinkHello> greeting;
    private final Function<FleetRequest, FleetNews> answerNews;
    private final Consumer<FleetNews> news;
    private final Consumer<ReaderSign> signs;

    NodeIncomingLinkHandler(
            TargetCallHandler target,
            Supplier<LinkHello> greeting,
            Function<FleetRequest, FleetNews> answerNews,
            Consumer<FleetNews> news,
            Consumer<ReaderSign> signs) {
        this.target = target;
        this.greeting = greeting;
        this.answerNews = answerNews;
        this.news = news;
        this.signs = signs;
    }

    @Override
    public LinkHello createHello(EntryId entry, CallOutcomeListener outcomes) {
        return greeting.get();
    }

    @Override
    public void onCall(EntryId entry, ForwardedCall call, CallOutcomeListener outcomes) {
        target.onCall(entry, call, outcomes);
    }

    @Override
    public void onSeal(EntryId entry, CallSeal seal, CallOutcomeListener outcomes) {
        target.onSeal(entry, seal, outcomes);
    }

    @Override
    public void onCancel(EntryId entry, CallCancel cancel) {
        target.onCancel(entry, cancel);
    }

    @Override
    public void onLinkClosed(EntryId entry, CallOutcomeListener outcomes) {
        target.onLinkClosed(outcomes);
    }

    @Override
    public FleetNews createFleetNews(FleetRequest request) {
        return answerNews.apply(request);
    }

    @Override
    public void onFleetNews(FleetNews told) {
        news.accept(told);
    }

    @Override
    public void onReaderSign(ReaderSign sign) {
        signs.accept(sign);
    }
}
