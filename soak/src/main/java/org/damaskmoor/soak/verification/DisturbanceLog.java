package org.damaskmoor.soak.verification;

import java.util.ArrayList;
import java.util.List;
import java.util.function.LongConsumer;

/**
 * Records when each component of the system was disturbed by a fault or asked to stop, so that
 * checks can excuse the effects.
 *
 * <p>Thread-safe.
 */
public final class DisturbanceLog {
    private static final long OPEN = Long.MAX_VALUE;

    /** A component that can be disturbed. */
    public enum Component {
        /** The relay process, killed or suspended. */
        PROCESS,
        /** The relay process, asked to shut down. */
        PLANNED_STOP,
        /** Connections from callers to the relay. */
        CALLERS,
        /** Connections from other relays to the relay. */
        LINKS,
        /** Connections from the relay to the store. */
        STORE_LINK,
        /** Connections from the relay to its upstream. */
        UPSTREAM_LINK,
        /** The store itself. */
        STORE
    }

    private static final class Interval {
        private final Component component;
        private final int relay;
        private final long from;
        private volatile long until = OPEN;

        Interval(Component component, int relay, long from) {
            this.component = component;
            this.relay = relay;
            this.from = from;
        }
    }

    private final List<Interval> intervals = new ArrayList<>();

    /** Records the start of a disturbance; the returned consumer takes the time of its end. */
    public synchronized LongConsumer begin(Component component, int relay, long now) {
        Interval interval = new Interval(component, relay, now);
        intervals.add(interval);
        return end -> interval.until = end;
    }

    /**
     * Returns whether a component of a relay was disturbed at any time between the two times, both
     * inclusive.
     */
    public synchronized boolean overlaps(Component component, int relay, long from, long until) {
        return intervals.stream()
                .anyMatch(
                        interval ->
                                interval.component == component
                                        && interval.relay == relay
                                        && interval.from <= until
                                        && interval.until >= from);
    }
}
