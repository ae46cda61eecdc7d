package org.damaskmoor.relay.internal;

import java.util.Collection;
import java.util.List;
import java.util.function.Consumer;
import java.util.function.LongSupplier;
import java.util.function.Supplier;
import org.damaskmoor.core.quarantine.RequestFingerprint;
import org.damaskmoor.relay.internal.target.TargetEvents;
import org.damaskmoor.schema.gossip.QuarantineRecord;

/** Leads what the target tells to the parts of its node. Confined to the event loop. */
final class NodeTargetEvents implements TargetEvents {
    private final Runnable upstreamChanged;
    private final Supplier<String> healthPath;
    private final LongSupplier lastFailure;
    private final CrashBoard crashes;
    private final Consumer<List<QuarantineRecord>> tell;

    NodeTargetEvents(
            Runnable upstreamChanged,
            Supplier<String> healthPath,
            LongSupplier lastFailure,
            CrashBoard crashes,
            Consumer<List<QuarantineRecord>> tell) {
        this.upstreamChanged = upstreamChanged;
        this.healthPath = healthPath;
        this.lastFailure = lastFailure;
        this.crashes = crashes;
        this.tell = tell;
    }

    @Override
    public void upstreamChanged() {
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
    public void crashed(Collection<RequestFingerprint> running) {
        tell.accept(crashes.crashed(running));
    }

    @Override
    public void answered(RequestFingerprint request) {
        crashes.answered(request);
    }

    @Override
    public boolean isQuarantined(RequestFingerprint request) {
        return crashes.holds(request);
    }
}
