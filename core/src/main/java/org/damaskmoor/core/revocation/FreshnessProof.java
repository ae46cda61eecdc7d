package org.damaskmoor.core.revocation;

import java.util.OptionalLong;

/**
 * Proof that the configuration in force at this node was the newest at most a certain time ago, so
 * that a removed API key is refused in time whatever fails.
 *
 * <pre>{@code
 * proof.onStoreResponse(sentAt, storeTime, now);
 * proof.onStatement(version, storeTime, version, now);
 * if (proof.holds(version, clocks.now())) { ... }
 * }</pre>
 *
 * <p>The proof has two parts. A response of the store to a call of this node relates the store's
 * clock to the own one. A statement says that a version was the newest at a time of the store's
 * clock; it comes from an own call or from the heartbeat of a reader, and is true however long it
 * was in transit.
 *
 * <p>Load pattern: a statement every 0.6 s from a reader whose calls end every 1.5 s, a check for
 * each request; relays that are frozen, suspended, restarted or cut off from the store for seconds,
 * and a store that is unavailable or returns from an older copy.
 *
 * <p>Invariants: the age is never less than the true age, if clocks differ in rate by at most 600
 * ppm. A statement counts only for its own version, and not once a newer one is known. Both parts
 * are dropped when the time of day moves against the monotonic clock by more than {@link
 * #MAX_CLOCK_SHIFT_MILLISECONDS}, when the store's clock goes back, and in a new era. Not
 * thread-safe.
 */
public final class FreshnessProof {
    /**
     * Movement of the time of day against the monotonic clock after which the VM may have been
     * suspended.
     */
    public static final long MAX_CLOCK_SHIFT_MILLISECONDS = 250;

    /**
     * Share of the timeout for which a proof lasts. A node without a path to the store must go on
     * for 0.6 of the timeout; a statement is up to 0.3 of it old when the call of a reader ends.
     * The rest is left for a request that was sent before its key was removed.
     */
    private static final double VALIDITY_SHARE = 0.84;

    private final long validityMilliseconds;
    private StoreClockReference reference;
    private Statement newest = Statement.NONE;
    private Statement former = Statement.NONE;
    private long newestVersion;

    private record Statement(long version, long storeTime, long receivedAt) {
        static final Statement NONE = new Statement(0, 0, 0);
    }

    /**
     * Creates a proof that does not hold yet.
     *
     * @param timeoutMilliseconds time after which the removal of a key must hold everywhere
     */
    public FreshnessProof(long timeoutMilliseconds) {
        this.validityMilliseconds = (long) (timeoutMilliseconds * VALIDITY_SHARE);
    }

    /** Time for which a proof lasts, in milliseconds. */
    public long validityMilliseconds() {
        return validityMilliseconds;
    }

    /**
     * The store responded to a call of this node.
     *
     * @param sentAt when the call was sent, or earlier
     * @param storeTime the store's time in the response; 0 if it tells none
     */
    public void onStoreResponse(OwnTime sentAt, long storeTime, OwnTime now) {
        dropIfClocksMoved(now);
        if (storeTime <= 0 || isShifted(now.offsetMilliseconds() - sentAt.offsetMilliseconds())) {
            return;
        }
        if (isClockSetBack(newest, sentAt, storeTime)
                || isClockSetBack(former, sentAt, storeTime)) {
            reset();
        }
        boolean better =
                reference == null
                        || reference.isContradictedBy(storeTime, now)
                        || reference.earliest(storeTime) <= sentAt.monotonicMilliseconds();
        if (better) {
            reference = new StoreClockReference(sentAt, storeTime);
        }
    }

    /** Whether the store's clock shows less than before, in the response to a later call. */
    private static boolean isClockSetBack(Statement earlier, OwnTime sentAt, long storeTime) {
        return earlier.storeTime() > storeTime
                && earlier.receivedAt() < sentAt.monotonicMilliseconds();
    }

    /**
     * A version was the newest at a time of the store's clock, of the store's current era.
     *
     * @param versionInForce the version in force at this node
     */
    public void onStatement(long version, long storeTime, long versionInForce, OwnTime now) {
        dropIfClocksMoved(now);
        newestVersion = Math.max(newestVersion, versionInForce);
        if (storeTime <= 0 || version < newestVersion) {
            return;
        }
        newestVersion = version;
        if (version > newest.version() && newest.version() <= versionInForce) {
            // The version in force keeps its proof until the newer one arrives or the proof ends.
            former = newest;
        }
        if (version != newest.version() || storeTime > newest.storeTime()) {
            newest = new Statement(version, storeTime, now.monotonicMilliseconds());
        }
    }

    /** A newer version is known than this node has in force, so that statements are ignored. */
    public void onNewerVersion(long version) {
        newestVersion = Math.max(newestVersion, version);
    }

    /** Drops the proof and the relation of the clocks, because the store has a new era. */
    public void reset() {
        reference = null;
        newest = Statement.NONE;
        former = Statement.NONE;
    }

    /** Whether the store's clock has been related to the clock of this node. */
    public boolean hasReference(OwnTime now) {
        dropIfClocksMoved(now);
        return reference != null;
    }

    /** Whether the proof lasts for a version. */
    public boolean holds(long versionInForce, OwnTime now) {
        OptionalLong age = ageMilliseconds(versionInForce, now);
        return age.isPresent() && age.getAsLong() <= validityMilliseconds;
    }

    /**
     * Greatest time that may have passed since a version was the newest, in milliseconds; empty if
     * nothing is known.
     */
    public OptionalLong ageMilliseconds(long versionInForce, OwnTime now) {
        dropIfClocksMoved(now);
        long storeTime = storeTime(versionInForce);
        if (reference == null || storeTime == 0) {
            return OptionalLong.empty();
        }
        if (reference.isContradictedBy(storeTime, now)) {
            reset();
            return OptionalLong.empty();
        }
        return OptionalLong.of(
                now.monotonicMilliseconds()
                        + reference.suspendedMilliseconds(now)
                        - reference.earliest(storeTime));
    }

    /**
     * Latest time of the store's clock at which a version is known to have been the newest; 0 if
     * none is known. Other nodes may be told of it.
     */
    public long storeTime(long version) {
        if (version == newest.version()) {
            return newest.storeTime();
        }
        return version == former.version() ? former.storeTime() : 0;
    }

    private void dropIfClocksMoved(OwnTime now) {
        if (reference != null && isShifted(reference.clockShiftMilliseconds(now))) {
            reset();
        }
    }

    private static boolean isShifted(long shift) {
        return Math.abs(shift) > MAX_CLOCK_SHIFT_MILLISECONDS;
    }
}
