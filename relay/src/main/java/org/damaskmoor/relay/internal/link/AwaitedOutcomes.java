package org.damaskmoor.relay.internal.link;

import java.util.HashSet;
import java.util.Set;
import org.damaskmoor.relay.internal.time.Timers;
import org.damaskmoor.schema.link.LinkFrame;

/**
 * The outcomes that are awaited over a connection. While there are any, a silent connection is
 * pinged, and reported as silent if nothing arrives.
 *
 * <p>Confined to the event loop. Invariant: nothing is awaited while there is no connection.
 */
final class AwaitedOutcomes {
    /** Silence after which a ping is sent; several round trips between regions. */
    private static final long PING_AFTER_MILLISECONDS = 300;

    /** Silence after a ping at which the connection counts as lost. */
    private static final long LOST_AFTER_MILLISECONDS = 500;

    /** How often a connection is checked for silence while an outcome is awaited. */
    private static final long CHECK_INTERVAL_MILLISECONDS = 100;

    /**
     * Stands for the answer to a frame about quotas. Without it, a stalled link that carries no
     * calls would never be replaced.
     */
    private static final long QUOTA_SEQUENCE = 0;

    private final Timers timers;
    private final Runnable ping;
    private final Runnable onSilent;
    private final Set<Long> sequences = new HashSet<>();
    private boolean checkScheduled;
    private long lastReceivedAt;
    private long pingedAt;

    /**
     * Creates the outcomes of a link that has no connection yet.
     *
     * @param ping sends a ping over the connection
     * @param onSilent runs when the connection counts as lost
     */
    AwaitedOutcomes(Timers timers, Runnable ping, Runnable onSilent) {
        this.timers = timers;
        this.ping = ping;
        this.onSilent = onSilent;
    }

    /** A frame is written; its outcome is awaited if it has one. */
    void onWritten(LinkFrame frame) {
        if (frame.hasCall()) {
            add(frame.getCall().getSequence());
        } else if (frame.hasSeal()) {
            add(frame.getSeal().getSequence());
        } else if (QuotaFrames.isQuotaFrame(frame)) {
            add(QUOTA_SEQUENCE);
        }
    }

    private void add(long sequence) {
        if (sequences.isEmpty()) {
            onReceived();
            pingedAt = 0;
        }
        sequences.add(sequence);
        scheduleCheck();
    }

    /** Something has arrived over the connection. */
    void onReceived() {
        lastReceivedAt = timers.now();
    }

    /** The outcome of a call is no longer awaited. */
    void remove(long sequence) {
        sequences.remove(sequence);
    }

    /** The answer to a frame about quotas is no longer awaited. */
    void removeQuotaFrame() {
        sequences.remove(QUOTA_SEQUENCE);
    }

    /** The connection has ended. */
    void clear() {
        sequences.clear();
    }

    /** Whether the outcome of a call or a seal is awaited. */
    boolean hasCalls() {
        return sequences.stream().anyMatch(sequence -> sequence != QUOTA_SEQUENCE);
    }

    private void scheduleCheck() {
        if (!checkScheduled) {
            checkScheduled = true;
            timers.schedule(CHECK_INTERVAL_MILLISECONDS, this::check);
        }
    }

    private void check() {
        checkScheduled = false;
        if (sequences.isEmpty()) {
            return;
        }
        long now = timers.now();
        if (pingedAt > lastReceivedAt && now - pingedAt >= LOST_AFTER_MILLISECONDS) {
            onSilent.run();
            return;
        }
        if (pingedAt <= lastReceivedAt && now - lastReceivedAt >= PING_AFTER_MILLISECONDS) {
            pingedAt = now;
            ping.run();
        }
        scheduleCheck();
    }
}
