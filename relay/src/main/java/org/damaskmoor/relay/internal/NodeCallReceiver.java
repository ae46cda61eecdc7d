package org.damaskmoor.relay.internal;

import java.util.function.Consumer;
import java.util.function.Function;
import java.util.function.Supplier;
import org.damaskmoor.relay.internal.link.CallOutcomes;
import org.damaskmoor.relay.internal.link.CallReceiver;
import org.damaskmoor.relay.internal.link.EntryName;
import org.damaskmoor.relay.internal.target.TargetDesk;
import org.damaskmoor.schema.link.CallCancel;
import org.damaskmoor.schema.link.CallSeal;
import org.damaskmoor.schema.link.FleetNews;
import org.damaskmoor.schema.link.FleetRequest;
import org.damaskmoor.schema.link.ForwardedCall;
import org.damaskmoor.schema.link.LinkHello;
import org.damaskmoor.schema.link.ReaderSign;

/** Leads what entries send to the target and the directory. Confined to the event loop. */
final class NodeCallReceiver implements CallReceiver {
    private final TargetDesk target;
    private final Supplier<LinkHello> greeting;
    private final Function<FleetRequest, FleetNews> answerNews;
    private final Consumer<FleetNews> news;
    private final Consumer<ReaderSign> signs;

    NodeCallReceiver(
            TargetDesk target,
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
    public LinkHello greeting(EntryName entry, CallOutcomes outcomes) {
        return greeting.get();
    }

    @Override
    public void call(EntryName entry, ForwardedCall call, CallOutcomes outcomes) {
        target.call(entry, call, outcomes);
    }

    @Override
    public void seal(EntryName entry, CallSeal seal, CallOutcomes outcomes) {
        target.seal(entry, seal, outcomes);
    }

    @Override
    public void cancel(EntryName entry, CallCancel cancel) {
        target.cancel(entry, cancel);
    }

    @Override
    public void ended(EntryName entry, CallOutcomes outcomes) {
        target.ended(outcomes);
    }

    @Override
    public FleetNews news(FleetRequest request) {
        return answerNews.apply(request);
    }

    @Override
    public void onNews(FleetNews told) {
        news.accept(told);
    }

    @Override
    public void onSign(ReaderSign sign) {
        signs.accept(sign);
    }
}
