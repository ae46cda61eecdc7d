package org.damaskmoor.relay.internal.target;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.function.Consumer;
import org.damaskmoor.core.queueing.SlowdownDetector;
import org.damaskmoor.core.upstream.UpstreamLoad;
import org.damaskmoor.relay.internal.time.Timers;

/**
 * Asks the upstream how fast its VM is at this instant, before calls are started on it.
 *
 * <p>Confined to the event loop. Invariants: one question at a time, and no more in a second than
 * the bound; a call that waits for the word is offered once, also when none comes.
 */
final class SlownessProbe {
    private final UpstreamConnectionPool pool;
    private final TokenBucket bound;
    private final TargetCallbacks events;
    private final Timers timers;
    private final Consumer<TargetCall> offer;
    private final Runnable afterwards;
    private final SlowdownDetector moments = new SlowdownDetector();
    private final List<TargetCall> unsure = new ArrayList<>();
    private boolean asking;

    /**
     * Creates checks of an upstream of which nothing is known.
     *
     * @param offer takes the calls that have waited for the word
     * @param afterwards runs after each word
     */
    SlownessProbe(
            UpstreamConnectionPool pool,
            TokenBucket bound,
            TargetCallbacks events,
            Timers timers,
            Consumer<TargetCall> offer,
            Runnable afterwards) {
        this.pool = pool;
        this.bound = bound;
        this.events = events;
        this.timers = timers;
        this.offer = offer;
        this.afterwards = afterwards;
    }

    /** The speed of the VM, as far as it was told. */
    SlowdownDetector slowdownDetector() {
        return moments;
    }

    /** Takes a call until the speed is known; false when it is known or can't be asked for now. */
    boolean deferUntilProbed(TargetCall call) {
        if (!probeIfStale()) {
            return false;
        }
        unsure.add(call);
        return true;
    }

    /** Whether the speed is asked for now, so that nothing should be started before the word. */
    boolean probeIfStale() {
        return moments.hasReading() && !moments.isFresh(timers.now()) && probe();
    }

    /** Asks; false when that can't be done now. */
    boolean probe() {
        if (asking) {
            return true;
        }
        String path = events.healthPath();
        if (path.isEmpty() || !bound.tryAcquire(timers.now())) {
            return false;
        }
        asking = true;
        pool.checkHealth(path, this::onWord);
        return true;
    }

    /** The upstream told its load with an answer. */
    void onLoad(UpstreamLoad load) {
        if (load.slowness() > 0) {
            moments.onReading(load.slowness(), timers.now());
        }
    }

    /** Forgets a call that is not wanted any more. */
    void remove(TargetCall call) {
        unsure.remove(call);
    }

    private void onWord(Optional<UpstreamLoad> load) {
        asking = false;
        load.ifPresent(this::onLoad);
        List<TargetCall> waited = List.copyOf(unsure);
        unsure.clear();
        waited.forEach(offer);
        afterwards.run();
    }
}
