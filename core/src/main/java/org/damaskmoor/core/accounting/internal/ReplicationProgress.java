package org.damaskmoor.core.accounting.internal;

/**
 * Tracks what the current peer was sent and what it acknowledged.
 *
 * <p>Invariant: {@code acknowledgedThrough <= sentThrough} for the open group; the closed group is
 * acknowledged as a whole or not at all. Not thread-safe.
 */
public final class ReplicationProgress {
    private long sentThrough;
    private long acknowledgedThrough;
    private long waitingSinceNanoseconds;
    private boolean closedAcknowledged = true;
    private long closedSentNanoseconds;
    private int unresponsiveCount;

    /** Returns whether the peer was sent everything up to the sequence. */
    public boolean wasSentThrough(long sequence) {
        return sentThrough == sequence;
    }

    /** The next batch of the open group was sent. */
    public void onBatchSent(long sequence, long nowNanoseconds) {
        if (acknowledgedThrough >= sentThrough) {
            waitingSinceNanoseconds = nowNanoseconds;
        }
        sentThrough = sequence;
    }

    /** A peer, perhaps a new one, was sent everything that is not flushed. */
    public void onEverythingSent(
            long sequence, long acknowledgedBefore, boolean closed, long nowNanoseconds) {
        sentThrough = sequence;
        acknowledgedThrough = acknowledgedBefore;
        waitingSinceNanoseconds = nowNanoseconds;
        closedAcknowledged = !closed;
        closedSentNanoseconds = nowNanoseconds;
        unresponsiveCount++;
    }

    /** The open group up to {@code last} became the closed one. */
    public void onGroupClosed(long last, long nowNanoseconds) {
        closedAcknowledged = acknowledgedThrough >= last;
        closedSentNanoseconds = nowNanoseconds;
        acknowledgedThrough = last;
    }

    /** The peer acknowledged the open group up to a sequence. */
    public void onAcknowledged(long sequence, long nowNanoseconds) {
        unresponsiveCount = 0;
        if (sequence > acknowledgedThrough) {
            acknowledgedThrough = sequence;
            waitingSinceNanoseconds = nowNanoseconds;
        }
    }

    /** The peer acknowledged the whole closed group. */
    public void onClosedGroupAcknowledged() {
        unresponsiveCount = 0;
        closedAcknowledged = true;
    }

    /**
     * Returns whether something sent has been unacknowledged for that long without any progress.
     */
    public boolean isUnresponsiveFor(long nanoseconds, long nowNanoseconds) {
        boolean openIsLate =
                acknowledgedThrough < sentThrough
                        && nowNanoseconds - waitingSinceNanoseconds >= nanoseconds;
        boolean closedIsLate =
                !closedAcknowledged && nowNanoseconds - closedSentNanoseconds >= nanoseconds;
        return openIsLate || closedIsLate;
    }

    /** Returns the number of peers that were sent everything since the last acknowledgement. */
    public int unresponsivePeers() {
        return unresponsiveCount;
    }
}
