package org.damaskmoor.core.accounting.internal;

/**
 * What the current peer was sent and what it said it holds.
 *
 * <p>Invariant: {@code held <= sent} for the open group; the closed group is held whole or not. Not
 * thread-safe.
 */
public final class ReplicationProgress {
    private long sentThrough;
    private long heldThrough;
    private long waitingSinceNanoseconds;
    private boolean closedHeld = true;
    private long closedSentNanoseconds;
    private int silentPeers;

    /** Whether the peer was sent everything up to the sequence. */
    public boolean wasSentThrough(long sequence) {
        return sentThrough == sequence;
    }

    /** The next batch of the open group was sent. */
    public void onBatchSent(long sequence, long nowNanoseconds) {
        if (heldThrough >= sentThrough) {
            waitingSinceNanoseconds = nowNanoseconds;
        }
        sentThrough = sequence;
    }

    /** A peer, perhaps a new one, was sent all that is not flushed. */
    public void onEverythingSent(
            long sequence, long heldBefore, boolean closed, long nowNanoseconds) {
        sentThrough = sequence;
        heldThrough = heldBefore;
        waitingSinceNanoseconds = nowNanoseconds;
        closedHeld = !closed;
        closedSentNanoseconds = nowNanoseconds;
        silentPeers++;
    }

    /** The open group up to {@code last} became the closed one. */
    public void onGroupClosed(long last, long nowNanoseconds) {
        closedHeld = heldThrough >= last;
        closedSentNanoseconds = nowNanoseconds;
        heldThrough = last;
    }

    /** The peer holds the open group up to a sequence. */
    public void onAcknowledged(long sequence, long nowNanoseconds) {
        silentPeers = 0;
        if (sequence > heldThrough) {
            heldThrough = sequence;
            waitingSinceNanoseconds = nowNanoseconds;
        }
    }

    /** The peer holds the closed group whole. */
    public void onClosedGroupAcknowledged() {
        silentPeers = 0;
        closedHeld = true;
    }

    /** Whether something sent has not been held for that long without any progress. */
    public boolean isUnresponsiveFor(long nanoseconds, long nowNanoseconds) {
        boolean openIsLate =
                heldThrough < sentThrough
                        && nowNanoseconds - waitingSinceNanoseconds >= nanoseconds;
        boolean closedIsLate = !closedHeld && nowNanoseconds - closedSentNanoseconds >= nanoseconds;
        return openIsLate || closedIsLate;
    }

    /** Peers that were sent everything since one last answered. */
    public int unresponsivePeers() {
        return silentPeers;
    }
}
