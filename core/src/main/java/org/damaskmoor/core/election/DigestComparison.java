package org.damaskmoor.core.election;

/**
 * Compares the digest of what this node knows with the digest in a reader's heartbeats, and decides
 * when the difference has lasted so long that this node must read for itself.
 *
 * <p>Answers changes that a reader sent while its connection to this node was down. A short
 * difference is normal while a change spreads. If reading does not end the difference, the next
 * reading waits longer, so that a lasting difference costs few calls. Times are in milliseconds of
 * one monotonic clock. Not thread-safe.
 */
public final class DigestComparison {
    /** Time for which a change may be on its way from the reader. */
    private static final long SPREAD_MILLISECONDS = 2500;

    /** Least and greatest time between two readings for the same difference. */
    private static final long MIN_BACKOFF_MILLISECONDS = 10_000;

    private static final long MAX_BACKOFF_MILLISECONDS = 80_000;

    private boolean different;
    private long since;
    private long tolerated = SPREAD_MILLISECONDS;

    /** Records a heartbeat's digest; returns whether this node must read for itself now. */
    public boolean onDigest(long own, long readers, long now) {
        if (own == readers) {
            different = false;
            tolerated = SPREAD_MILLISECONDS;
            return false;
        }
        if (!different) {
            different = true;
            since = now;
        }
        if (now - since < tolerated) {
            return false;
        }
        since = now;
        tolerated =
                Math.min(
                        MAX_BACKOFF_MILLISECONDS,
                        Math.max(MIN_BACKOFF_MILLISECONDS, 2 * tolerated));
        return true;
    }
}
