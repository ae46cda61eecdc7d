package org.damaskmoor.relay.internal.log;

/**
 * Writes one line of {@code key=value} pairs for each event.
 *
 * <pre>{@code
 * log.event("call-refused").with("request", id).with("reason", reason).write();
 * }</pre>
 *
 * <p>Confined to the event loop. Never blocks.
 */
public interface EventLog {
    /** Starts a line. */
    Line event(String name);

    /** A line that is being built. */
    interface Line {
        /** Adds a pair. */
        Line with(String key, Object value);

        /** Adds a number. */
        Line with(String key, long value);

        /** Writes the line. */
        void write();
    }
}
