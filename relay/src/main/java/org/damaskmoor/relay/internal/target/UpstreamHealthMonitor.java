package org.damaskmoor.relay.internal.target;

import java.util.Collection;
import java.util.List;
import org.damaskmoor.core.quarantine.RequestFingerprint;
import org.damaskmoor.core.upstream.UpstreamTracker;
import org.damaskmoor.relay.internal.log.EventLog;
import org.damaskmoor.relay.internal.time.Timers;

/**
 * Finds out whether the upstream still takes connections, after calls to it have failed.
 *
 * <p>Confined to the event loop. Invariant: one connection is tried at a time; an upstream that is
 * down is tried until it is up or another one announces itself.
 */
final class UpstreamHealthMonitor {
    /** How often an upstream that does not answer is tried. */
    private static final long PROBE_MILLISECONDS = 300;

    private final UpstreamTracker register;
    private final UpstreamConnectionPool pool;
    private final Timers timers;
    private final EventLog log;
    private final Listener listener;
    private final RecentFailures failures = new RecentFailures();
    private boolean probing;

    /** Hears of what is found out. */
    interface Listener {
        /** Requests that run now. */
        Collection<RequestFingerprint> running();

        /** The upstream does not answer; these requests ran or had just failed. */
        void onDown(List<RequestFingerprint> suspects);

        /** It answers again. */
        void onUp();
    }

    UpstreamHealthMonitor(
            UpstreamTracker register,
            UpstreamConnectionPool pool,
            Timers timers,
            EventLog log,
            Listener listener) {
        this.register = register;
        this.pool = pool;
        this.timers = timers;
        this.log = log;
        this.listener = listener;
    }

    /** A request got no whole answer: the upstream may have crashed. */
    void onFailure(RequestFingerprint request) {
        failures.add(request, timers.now());
        probe();
    }

    /** The upstream does not answer, or another one answers in its place. */
    void markDown(String reason) {
        if (register.isDown()) {
            return;
        }
        register.markDown();
        log.event("upstream-down").with("reason", reason).write();
        List<RequestFingerprint> suspects = failures.recent(timers.now());
        suspects.addAll(listener.running());
        listener.onDown(suspects);
        probe();
    }

    private void probe() {
        if (probing || register.current().isEmpty()) {
            return;
        }
        probing = true;
        pool.probeConnection(this::onProbed);
    }

    private void onProbed(boolean reachable) {
        if (reachable) {
            probing = false;
            up();
            return;
        }
        markDown("no connection");
        timers.schedule(
                PROBE_MILLISECONDS,
                () -> {
                    probing = false;
                    probe();
                });
    }

    private void up() {
        if (register.isDown()) {
            register.markUp();
            log.event("upstream-up").write();
            listener.onUp();
        }
    }
}
