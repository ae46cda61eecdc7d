package org.damaskmoor.relay.internal.link;

import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.atomic.AtomicInteger;
import org.damaskmoor.core.id.NodeId;
import org.damaskmoor.schema.link.CallSeal;
import org.damaskmoor.schema.link.CallSealed;
import org.damaskmoor.schema.link.FleetNews;
import org.damaskmoor.schema.link.ForwardedAnswer;
import org.damaskmoor.schema.link.ForwardedCall;
import org.damaskmoor.schema.link.ForwardedFailure;
import org.damaskmoor.schema.link.ForwardedRefusal;
import org.damaskmoor.schema.link.LinkHello;
import org.damaskmoor.schema.link.TargetLoad;

/** Records what a link reports. Thread-safe. */
final class RecordingLinkListener implements LinkListener, CallOutcomeListener {
    final List<Long> answered = new CopyOnWriteArrayList<>();
    final List<Long> unsent = new CopyOnWriteArrayList<>();
    final AtomicInteger hellos = new AtomicInteger();
    final AtomicInteger loads = new AtomicInteger();

    /** Whether a seal for call 1 is sent when a link is lost. */
    volatile boolean sealLostCalls;

    @Override
    public CallOutcomeListener outcomeListener(NodeId node) {
        return this;
    }

    @Override
    public void onHello(NodeId node, LinkHello hello) {
        hellos.incrementAndGet();
    }

    @Override
    public void onUnsent(NodeId node, List<ForwardedCall> calls) {
        calls.forEach(call -> unsent.add(call.getSequence()));
    }

    @Override
    public void onLinkLost(CallLink lost) {
        if (sealLostCalls) {
            lost.send(CallSeal.newBuilder().setSequence(1).build());
        }
    }

    @Override
    public void onFleetNews(FleetNews update) {}

    @Override
    public void onAnswered(ForwardedAnswer answer) {
        answered.add(answer.getSequence());
    }

    @Override
    public void onRefused(ForwardedRefusal refusal) {}

    @Override
    public void onFailed(ForwardedFailure failure) {}

    @Override
    public void onSealed(CallSealed sealed) {}

    @Override
    public void onLoad(TargetLoad load) {
        loads.incrementAndGet();
    }
}
