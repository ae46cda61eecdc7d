package org.damaskmoor.relay.internal;

import java.util.concurrent.CompletableFuture;
import org.damaskmoor.core.id.NodeId;
import org.damaskmoor.relay.internal.entry.EntryRequestHandler;
import org.damaskmoor.relay.internal.fleet.DepartureRecords;
import org.damaskmoor.relay.internal.fleet.OwnRecordPublisher;
import org.damaskmoor.relay.internal.log.EventLog;
import org.damaskmoor.relay.internal.target.TargetCallHandler;

/**
 * Stops a node gracefully: refuses new requests, finishes open ones and closes all ports.
 *
 * <p>Confined to the event loop. Invariant: the node's record is removed only if its upstream
 * leaves, because a node that is restarted alone comes back under the same name.
 */
final class NodeShutdown {
    private final NodeId self;
    private final TargetCallHandler target;
    private final EntryRequestHandler entry;
    private final OwnRecordPublisher ownRecord;
    private final DepartureRecords departures;
    private final NodePorts ports;
    private final Runnable stopWatches;
    private final GracefulStop stop;
    private final EventLog log;

    NodeShutdown(
            NodeId self,
            TargetCallHandler target,
            EntryRequestHandler entry,
            OwnRecordPublisher ownRecord,
            DepartureRecords departures,
            NodePorts ports,
            Runnable stopWatches,
            GracefulStop stop,
            EventLog log) {
        this.self = self;
        this.target = target;
        this.entry = entry;
        this.ownRecord = ownRecord;
        this.departures = departures;
        this.ports = ports;
        this.stopWatches = stopWatches;
        this.stop = stop;
        this.log = log;
    }

    /** Whether the stop has begun. */
    boolean isRunning() {
        return stop.isRunning();
    }

    /** Begins to stop; completes when all ports are closed. */
    CompletableFuture<Void> run() {
        log.event("node-stopping").with("node", self).with("open", entry.openRequests()).write();
        target.stopAccepting();
        ports.callers().closeAfterReplies();
        boolean upstreamLeaving = target.upstreamTracker().isLeaving();
        CompletableFuture<Void> recordRemoved =
                upstreamLeaving ? ownRecord.remove() : CompletableFuture.completedFuture(null);
        return stop.run(this::rejectNewWork, () -> isIdle(recordRemoved))
                .thenRun(entry::finishAll)
                .thenCompose(done -> stop.flushReplies(ports::isFlushed))
                .thenRun(this::close);
    }

    private boolean isIdle(CompletableFuture<Void> recordRemoved) {
        return recordRemoved.isDone()
                && departures.isWritten()
                && ports.callers().isIdle()
                && target.isIdle();
    }

    private void rejectNewWork() {
        entry.rejectNewRequests();
        target.refuseWaitingCalls();
    }

    private void close() {
        stopWatches.run();
        ports.stop();
        log.event("node-stopped").with("node", self).write();
    }
}
