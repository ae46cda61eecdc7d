package org.damaskmoor.relay.internal.target;

import org.damaskmoor.core.upstream.UpstreamLoad;

/**
 * The slowness of the VM as its upstream told it last. Times are in milliseconds. Confined to the
 * event loop.
 */
final class SlownessGauge {
    private double last = 1;
    private long toldAt;
    private boolean told;

    void hear(UpstreamLoad load, long now) {
        if (load.slowness() > 0) {
            last = load.slowness();
            toldAt = now;
            told = true;
        }
    }

    /** The last slowness, 1 is as usual. */
    double last() {
        return last;
    }

    boolean isKnown() {
        return told;
    }

    long age(long now) {
        return now - toldAt;
    }
}
