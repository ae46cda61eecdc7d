package org.damaskmoor.relay.internal.revocation;

import java.time.Duration;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.function.BooleanSupplier;
import java.util.function.LongSupplier;
import org.damaskmoor.core.revocation.FreshnessProof;
import org.damaskmoor.core.revocation.OwnTime;
import org.damaskmoor.platform.protocol.StoreCallObserver;
import org.damaskmoor.relay.internal.time.Timers;
import org.damaskmoor.schema.link.ReaderSign;

/**
 * Tells whether the configuration in force at this node is proven to be fresh, from the responses
 * of the store to this node and from the heartbeats of readers.
 *
 * <p>Confined to the event loop. Invariants: without a revocation timeout nothing is tracked and
 * the configuration always counts as fresh; what belongs to another era of the store than the
 * current one is ignored.
 */
public final class FreshnessTracker implements StoreCallObserver {
    /**
     * Share of the timeout for which a call may wait for a change. Its end is the proof, to which
     * an interval between heartbeats and a lost one are added before it arrives elsewhere.
     */
    private static final double MAX_WAIT_SHARE = 0.3;

    /**
     * Share of the timeout after which a node does not wait for a heartbeat any longer. It exceeds
     * a wait and two intervals between heartbeats at the usual timeout of 5 s, and leaves more than
     * a second for calls to the store before the proof ends.
     */
    private static final double OVERDUE_SHARE = 0.56;

    private final OptionalLong timeout;
    private final Optional<FreshnessProof> proof;
    private final Timers timers;
    private final LongSupplier timeOfDay;
    private final LongSupplier era;
    private final LongSupplier versionInForce;
    private final BooleanSupplier requiresKeys;

    /**
     * Creates a tracker without proof.
     *
     * @param timeout time after which the removal of a key must hold; empty for no tracking
     * @param timeOfDay the time of day, in milliseconds
     * @param era the newest era of the store that is known
     * @param versionInForce version of the configuration in force
     * @param requiresKeys whether requests need a key, so that proof is needed
     */
    public FreshnessTracker(
            OptionalLong timeout,
            Timers timers,
            LongSupplier timeOfDay,
            LongSupplier era,
            LongSupplier versionInForce,
            BooleanSupplier requiresKeys) {
        this.timeout = timeout;
        this.proof =
                timeout.isPresent()
                        ? Optional.of(new FreshnessProof(timeout.getAsLong()))
                        : Optional.empty();
        this.timers = timers;
        this.timeOfDay = timeOfDay;
        this.era = era;
        this.versionInForce = versionInForce;
        this.requiresKeys = requiresKeys;
    }

    /** Whether requests are refused without proof. */
    public boolean isNeeded() {
        return proof.isPresent() && requiresKeys.getAsBoolean();
    }

    /** Whether the given version, which must be in force, is proven to be fresh. */
    public boolean holds(long version) {
        return proof.map(known -> known.holds(version, now())).orElse(true);
    }

    /** Whether the version in force is proven to be fresh. */
    boolean holdsInForce() {
        return holds(versionInForce.getAsLong());
    }

    /** Greatest age of the proof in milliseconds; empty if there is none. */
    public OptionalLong ageMilliseconds() {
        return proof.map(known -> known.ageMilliseconds(versionInForce.getAsLong(), now()))
                .orElseGet(OptionalLong::empty);
    }

    /** Whether the store's clock has been related to the clock of this node. */
    boolean hasReference() {
        return proof.map(known -> known.hasReference(now())).orElse(true);
    }

    /** Whether the proof has ended, or ends soon because no news has come for longer than usual. */
    public boolean isOverdue() {
        OptionalLong age = ageMilliseconds();
        return proof.isPresent()
                && (age.isEmpty() || age.getAsLong() > timeout.getAsLong() * OVERDUE_SHARE);
    }

    @Override
    public ResponseObserver onSend() {
        if (proof.isEmpty()) {
            return NONE.onSend();
        }
        OwnTime sentAt = now();
        return (responseEra, storeTime) -> {
            if (responseEra == era.getAsLong()) {
                proof.get().onStoreResponse(sentAt, storeTime, now());
            }
        };
    }

    /** The store held this version as the newest at a time of its clock, by its own answer. */
    public void onConfirmed(long version, long storeTime) {
        proof.ifPresent(
                known -> known.onStatement(version, storeTime, versionInForce.getAsLong(), now()));
    }

    /** A reader told which version is in force there, and when it was the newest. */
    public void onHeartbeat(ReaderSign sign) {
        if (proof.isEmpty()) {
            return;
        }
        proof.get().onNewerVersion(sign.getConfigurationVersion());
        if (sign.getStoreEra() == era.getAsLong()) {
            onConfirmed(sign.getConfigurationVersion(), sign.getStoreTimeMilliseconds());
        }
    }

    /** What a heartbeat tells of the version in force: the store's time of its proof, or 0. */
    public long provenStoreTime() {
        return proof.map(known -> known.storeTime(versionInForce.getAsLong())).orElse(0L);
    }

    /** The store has a new era. */
    public void reset() {
        proof.ifPresent(FreshnessProof::reset);
    }

    /**
     * Longest time for which a call may wait for a change of the configuration.
     *
     * @param informed whether proof comes by heartbeats, so that the end of the call need not be it
     */
    public Duration limitWait(Duration usual, boolean informed) {
        if (timeout.isEmpty() || informed) {
            return usual;
        }
        Duration limit = Duration.ofMillis((long) (timeout.getAsLong() * MAX_WAIT_SHARE));
        return limit.compareTo(usual) < 0 ? limit : usual;
    }

    /** The same for a call after a pause; it does not wait at all while proof is overdue. */
    public Duration limitWaitAfterPause(Duration usual, boolean informed) {
        return isNeeded() && isOverdue() ? Duration.ZERO : limitWait(usual, informed);
    }

    private OwnTime now() {
        return new OwnTime(timers.now(), timeOfDay.getAsLong());
    }
}
