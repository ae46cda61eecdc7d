package org.damaskmoor.soak.promise;

import java.util.ArrayList;
import java.util.List;
import java.util.function.LongConsumer;

/**
 * When which part of the system was disturbed from outside, or asked to stop.
 *
 * <p>Thread-safe.
 */
public final class Disturbances {
    private static final long OPEN = Long.MAX_VALUE;

    /** What is disturbed. */
    public enum Part {
        /** The process is killed or stopped where it stands. */
        PROCESS,
        /** The process is asked to end. */
        PLANNED_STOP,
        /** Callers' connections to the relay. */
        CALLERS,
        /** Connections of other relays to it. */
        LINKS,
        /** Its connections to the store. */
        STORE_LINK,
        /** Its connections to its upstream. */
        UPSTREAM_LINK,
        /** The store itself. */
        STORE
    }

    private static final class Span {
        private final Part part;
        private final int relay;
        private final long from;
        private volatile long until = OPEN;

        Span(Part part, int relay, long from) {
            this.part = part;
            this.relay = relay;
            this.from = from;
        }
    }

    private final List<Span> spans = new ArrayList<>();

    /** Begins a disturbance; the result ends it at the given time. */
    public synchronized LongConsumer begin(Part part, int relay, long now) {
        Span span = new Span(part, relay, now);
        spans.add(span);
        return end -> span.until = end;
    }

    /** Whether a part of a relay was disturbed at any time between the two. */
    public synchronized boolean any(Part part, int relay, long from, long until) {
        return spans.stream()
                .anyMatch(
                        span ->
                                span.part == part
                                        && span.relay == relay
                                        && span.from <= until
                                        && span.until >= from);
    }
}
