package org.damaskmoor.relay.internal;

import java.util.Collection;
import java.util.List;
import java.util.function.Consumer;
import java.util.function.LongSupplier;
import java.util.function.Supplier;
import org.damaskmoor.core.quarantine.RequestFingerprint;
import org.damaskmoor.relay.internal.target.TargetCallbacks;
import org.damaskmoor.schema.gossip.QuarantineRecord;

/** Leads what the target tells to the parts of its node. Confined to the event loop. */
final class NodeTargetCallbacks implements TargetCallbacks {
    private final Runnable upstreamChanged;
    private final Supplier<String> healthPath;
    private final LongSupplier lastFailure;
    private final NodeQuarantine crashes;
    private final Consumer<List<QuarantineRecord>> tell;

    NodeTargetCallbacks(
            Runnable upstreamChanged,
            Supplier<String> healthPath,
            LongSupplier lastFailure,
            NodeQuarantine crashes,
            Consumer<List<QuarantineRecord>> tell) {
        this.upstreamChanged = upstreamChanged;
        this.healthPath = healthPath;
        this.lastFailure = lastFailure;
        this.crashes = crashes;
        this.tell = tell;
    }

    @Override
    public void onUpstreamChanged() {
        upstreamChanged.run();
    }

    @Override
    public boolean failedSince(long time) {
        return lastFailure.getAsLong() >= time;
    }

    @Override
    public String healthPath() {
        return healthPath.get();
    }

    @Override
    public void onUpstreamCrashed(Collection<RequestFingerprint> running) {
        tell.accept(crashes.onUpstreamCrashed(running));
    }

    @Override
    public void onAnswered(RequestFingerprint request) {
        crashes.onAnswered(request);
    }

    @Override
    public boolean isQuarantined(RequestFingerprint request) {
        return crashes.contains(request);
    }
}
