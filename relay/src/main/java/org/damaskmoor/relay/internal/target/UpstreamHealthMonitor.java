package org.damaskmoor.relay.internal.target;

import java.util.Collection;
import java.util.List;
import org.damaskmoor.core.quarantine.RequestFingerprint;
import org.damaskmoor.core.upstream.UpstreamTracker;
import org.damaskmoor.relay.internal.log.EventLog;
import org.damaskmoor.relay.internal.time.Timers;

/**
 * Checks whether the upstream still accepts connections after calls to it have failed.
 *
 * <p>Confined to the event loop. Invariants: one connection is attempted at a time; an upstream
 * that is down is probed until it is reachable or another one announces itself.
 */
final class UpstreamHealthMonitor {
    /** Interval between connection attempts to an unreachable upstream. */
    private static final long PROBE_INTERVAL_MILLISECONDS = 300;

    private final UpstreamTracker tracker;
    private final UpstreamConnectionPool pool;
    private final Timers timers;
    private final EventLog log;
    private final Listener listener;
    private final RecentFailures failures = new RecentFailures();
    private boolean probing;

    /** Receives changes of the upstream's reachability. */
    interface Listener {
        /** The requests that the upstream is running. */
        Collection<RequestFingerprint> running();

        /** The upstream is unreachable; the suspects were running or had just failed. */
        void onDown(List<RequestFingerprint> suspects);

        /** A connection broke before the answer to a call was complete. */
        void onConnectionBroken();

        /** The upstream is reachable again. */
        void onUp();
    }

    UpstreamHealthMonitor(
            UpstreamTracker tracker,
            UpstreamConnectionPool pool,
            Timers timers,
            EventLog log,
            Listener listener) {
        this.tracker = tracker;
        this.pool = pool;
        this.timers = timers;
        this.log = log;
        this.listener = listener;
    }

    /** A request got no complete answer: the upstream may have crashed. */
    void onFailure(RequestFingerprint request) {
        failures.add(request, timers.now());
        probe();
    }

    /** A connection broke before the answer to a call was complete. */
    void onConnectionBroken() {
        listener.onConnectionBroken();
    }

    /** Marks the upstream as down: it is unreachable, or another one has its address. */
    void markDown(String reason) {
        if (tracker.isDown()) {
            return;
        }
        tracker.markDown();
        log.event("upstream-down").with("reason", reason).write();
        List<RequestFingerprint> suspects = failures.recent(timers.now());
        suspects.addAll(listener.running());
        listener.onDown(suspects);
        probe();
    }

    private void probe() {
        if (probing || tracker.current().isEmpty()) {
            return;
        }
        probing = true;
        pool.probeConnection(this::onProbed);
    }

    private void onProbed(boolean reachable) {
        if (reachable) {
            probing = false;
            markUp();
            return;
        }
        markDown("no connection");
        timers.schedule(
                PROBE_INTERVAL_MILLISECONDS,
                () -> {
                    probing = false;
                    probe();
                });
    }

    private void markUp() {
        if (tracker.isDown()) {
            tracker.markUp();
            log.event("upstream-up").write();
            listener.onUp();
        }
    }
}
