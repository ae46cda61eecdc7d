package org.damaskmoor.core.egress;

/**
 * Limits the attempts that one entry sends to the targets of one service in one other data centre,
 * after that data centre has refused attempts for lack of room.
 *
 * <p>Handles the load pattern of a kind of request that is allowed in one region only and comes 2.5
 * times as often as usual: each entry of the other region sends 1 to 4 such calls a second, and
 * without a limit each of them crosses the regions two or three times before it is refused.
 *
 * <p>Attempts that are not refused in time count as accepted when they are sent, because an answer
 * takes as long as the request runs and a refusal only a round trip. While limited, the entry sends
 * {@link #SENT_PER_ACCEPTED} attempts for each that is accepted, plus probes. What it sends
 * therefore follows what the destination accepts, not what callers ask for. An acceptance by a
 * target with free slots halves what is remembered of refusals. Without attempts the limit ends by
 * itself.
 *
 * <p>Times are in milliseconds of one monotonic clock. Not thread-safe.
 */
final class EgressLimiter {
    /**
     * Time constant of the counts. An entry sends 1 to 4 calls a second to a destination, so that a
     * shorter time would hold less than two of them.
     */
    static final double TIME_CONSTANT_MILLISECONDS = 2000;

    /**
     * Attempts sent for each accepted one, where a refusal takes back {@link #REFUSAL_WEIGHT} of
     * them. While the capacity is constant, (1 - 1 / 1.4) / 1.5 = 0.19 of the attempts are refused;
     * these find out that the destination accepts more.
     */
    static final double SENT_PER_ACCEPTED = 1.4;

    /** Above 1, so that the rate follows a drop of the capacity faster than the counts decay. */
    static final double REFUSAL_WEIGHT = 1.5;

    /** Attempts per time constant that are sent if none is accepted: one probe in 5 s. */
    static final double PROBES = 0.4;

    /** Below this many remembered refusals the destination is not limited. */
    private static final double MIN_REFUSALS = 0.25;

    /**
     * Least remembered refusals with which further ones are expected: 6 s after a single one. A
     * refusal that was not expected does not limit the destination: one target can be full by
     * chance. Below {@link #MIN_REFUSALS}, so that a limit that ended too early returns at once.
     */
    private static final double MIN_EXPECTED_REFUSALS = 0.05;

    /** Ratio of allowed to wanted attempts above which a limit ends; avoids frequent changes. */
    private static final double OPEN_RATIO = 1.1;

    private static final double SECOND_MILLISECONDS = 1000;

    private final DecayingCount wanted;
    private final DecayingCount sent;
    private final DecayingCount refused;
    private final DecayingCount recentRefusals;
    private final DecayingCount recentAcceptances;
    private boolean limited;
    private double credit;
    private long retryAfterMilliseconds;
    private long usedAt;

    EgressLimiter(long now) {
        wanted = new DecayingCount(TIME_CONSTANT_MILLISECONDS, now);
        sent = new DecayingCount(TIME_CONSTANT_MILLISECONDS, now);
        refused = new DecayingCount(TIME_CONSTANT_MILLISECONDS, now);
        recentRefusals = new DecayingCount(SECOND_MILLISECONDS, now);
        recentAcceptances = new DecayingCount(SECOND_MILLISECONDS, now);
        usedAt = now;
    }

    /** An attempt would be placed here if there was no limit. */
    void onWanted(long now) {
        usedAt = now;
        wanted.add(1, now);
        if (!limited) {
            return;
        }
        double ratio = allowedRatio(now);
        if (ratio >= OPEN_RATIO || refused.value(now) < MIN_REFUSALS) {
            limited = false;
        } else {
            credit = Math.min(1, credit + ratio);
        }
    }

    /** Whether an attempt may be sent now. */
    boolean permits() {
        return !limited || credit >= 1;
    }

    /** An attempt was sent. */
    void onSent(long now) {
        usedAt = now;
        sent.add(1, now);
        if (limited) {
            credit = Math.max(0, credit - 1);
        }
    }

    /** A target returned an attempt because another target is better; it tells nothing of room. */
    void onSentBack(long now) {
        sent.add(-1, now);
        wanted.add(-1, now);
    }

    /**
     * A target refused an attempt for lack of room.
     *
     * @param retryAfter time after which it expects room, in milliseconds; 0 if it does not tell
     */
    void onRefused(long retryAfter, long now) {
        boolean repeated = refused.value(now) >= MIN_EXPECTED_REFUSALS;
        // More refusals than take back all attempts would delay the return from a burst of them.
        double room = sent.value(now) / REFUSAL_WEIGHT - refused.value(now);
        refused.add(Math.min(1, Math.max(0, room)), now);
        recentRefusals.add(1, now);
        retryAfterMilliseconds = retryAfter;
        if (!limited && repeated && allowedRatio(now) < 1) {
            limited = true;
            credit = 0;
        }
    }

    /**
     * A target answered an attempt.
     *
     * @param hasRoom whether the target has free slots and no queue
     */
    void onAccepted(boolean hasRoom, long now) {
        recentAcceptances.add(1, now);
        if (limited && hasRoom) {
            refused.multiply(0.5, now);
            double unsent = Math.max(0, wanted.value(now) - sent.value(now));
            wanted.add(-unsent / 2, now);
        }
    }

    private double allowedRatio(long now) {
        double accepted = Math.max(0, sent.value(now) - REFUSAL_WEIGHT * refused.value(now));
        return (SENT_PER_ACCEPTED * accepted + PROBES) / Math.max(1, wanted.value(now));
    }

    /** Whether targets have lately refused attempts for lack of room. */
    boolean expectsRefusals(long now) {
        return limited || refused.value(now) >= MIN_EXPECTED_REFUSALS;
    }

    boolean isLimited() {
        return limited;
    }

    /** What the last refusal told, in milliseconds; 0 if it told nothing. */
    long retryAfterMilliseconds() {
        return retryAfterMilliseconds;
    }

    /** Time at which an attempt was last wanted or sent. */
    long usedAt() {
        return usedAt;
    }

    double sentPerSecond(long now) {
        return sent.value(now) * SECOND_MILLISECONDS / TIME_CONSTANT_MILLISECONDS;
    }

    double wantedPerSecond(long now) {
        return wanted.value(now) * SECOND_MILLISECONDS / TIME_CONSTANT_MILLISECONDS;
    }

    long refusalsOfLastSecond(long now) {
        return Math.round(recentRefusals.value(now));
    }

    long acceptancesOfLastSecond(long now) {
        return Math.round(recentAcceptances.value(now));
    }
}
