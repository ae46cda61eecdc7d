package org.damaskmoor.relay.internal;

import io.netty.channel.EventLoop;
import org.damaskmoor.core.atmostonce.LedgerLimits;
import org.damaskmoor.core.atmostonce.TargetLedger;
import org.damaskmoor.core.id.Incarnation;
import org.damaskmoor.core.upstream.UpstreamTracker;
import org.damaskmoor.relay.RelaySettings;
import org.damaskmoor.relay.internal.log.EventLog;
import org.damaskmoor.relay.internal.target.TargetCallHandler;
import org.damaskmoor.relay.internal.target.TargetCallbacks;
import org.damaskmoor.relay.internal.time.Timers;

/** Creates the handler of calls to the upstream on this VM. Confined to the event loop. */
final class NodeTargetFactory {
    /** Maximum number of calls that the ledger remembers; each takes some hundred bytes. */
    private static final int LEDGER_ENTRIES = 20_000;

    private static final long LEDGER_ANSWER_BYTES = 4 * 1024 * 1024;
    private static final int LEDGER_FENCES = 1024;

    private final RelaySettings settings;
    private final EventLoop loop;
    private final Timers timers;
    private final EventLog log;

    NodeTargetFactory(RelaySettings settings, EventLoop loop, Timers timers, EventLog log) {
        this.settings = settings;
        this.loop = loop;
        this.timers = timers;
        this.log = log;
    }

    TargetCallHandler create(Incarnation incarnation, TargetCallbacks callbacks) {
        return new TargetCallHandler(
                incarnation,
                new UpstreamTracker(settings.drainMilliseconds()),
                TargetLedger.bounded(
                        incarnation,
                        new LedgerLimits(LEDGER_ENTRIES, LEDGER_ANSWER_BYTES, LEDGER_FENCES)),
                loop,
                settings.upstream(),
                settings.maxAnswerBytes(),
                timers,
                log,
                callbacks,
                settings.healthChecksPerSecond());
    }
}
