package org.damaskmoor.core.placement;

/**
 * An entry node's estimate of one target's load, from the last load report, its age, and the calls
 * that this node has sent since.
 *
 * <p>Load changes faster than reports arrive. A reported slowdown therefore decays with {@link
 * #SLOWDOWN_DECAY_MILLISECONDS}, and calls that are in flight for long count against the target
 * before any answer arrives. Times are in milliseconds of one monotonic clock. Not thread-safe.
 */
public final class TargetEstimate {
    /**
     * Decay time of a reported slowdown; the speed of shared VMs changes several times a second.
     */
    private static final double SLOWDOWN_DECAY_MILLISECONDS = 120;

    /** Decay time of the reported calls from other entry nodes. */
    private static final double OTHER_CALLS_DECAY_MILLISECONDS = 600;

    /** Weight of one outcome in the moving average of failures. */
    private static final double FAILURE_SAMPLE_WEIGHT = 0.15;

    /**
     * Half-life of the failure rate without new outcomes, so that a failed target is tried again.
     */
    private static final double FAILURE_HALF_LIFE_MILLISECONDS = 2000;

    private final Proximity proximity;
    private LoadSnapshot report;
    private long reportedAt;
    private int ownInFlightAtReport;
    private int ownInFlight;
    private long sumOfSentAt;
    private double failureRate;
    private long failureAt;
    private long avoidUntil;

    public TargetEstimate(Proximity proximity, int slots, long now) {
        this.proximity = proximity;
        this.report = LoadSnapshot.unknown(slots);
        this.reportedAt = now;
    }

    /** Network distance from the entry node to the target. */
    public Proximity proximity() {
        return proximity;
    }

    /** Stores a load report. */
    public void onLoadReport(LoadSnapshot newReport, long now) {
        report = newReport;
        reportedAt = now;
        ownInFlightAtReport = ownInFlight;
    }

    /** Called when a call was sent to the target. */
    public void onSent(long now) {
        ownInFlight++;
        sumOfSentAt += now;
    }

    /** Called when a call that was sent at the given time has ended, with any outcome. */
    public void onEnded(long sentAt) {
        ownInFlight--;
        sumOfSentAt -= sentAt;
        ownInFlightAtReport = Math.max(0, ownInFlightAtReport - 1);
    }

    /** Records whether a call failed or was answered. */
    public void onOutcome(boolean failed, long now) {
        double rate = failureRate(now);
        failureRate = rate + FAILURE_SAMPLE_WEIGHT * ((failed ? 1 : 0) - rate);
        failureAt = now;
    }

    /** Excludes the target until the given time, because it is unreachable. */
    public void avoidUntil(long time) {
        avoidUntil = Math.max(avoidUntil, time);
    }

    /** Whether the target is excluded now. */
    public boolean isAvoided(long now) {
        return now < avoidUntil;
    }

    /** Exponentially weighted fraction of recent calls that failed. */
    public double failureRate(long now) {
        double age = Math.max(0, now - failureAt);
        return failureRate * Math.pow(0.5, age / FAILURE_HALF_LIFE_MILLISECONDS);
    }

    /** Service time without transient slowdowns, as a multiple of normal. */
    public double baselineSlowness() {
        return report.baselineSlowness() > 0 ? report.baselineSlowness() : 1;
    }

    /**
     * Additional service time from a transient slowdown, as a multiple of normal; 0 without one.
     */
    public double transientSlowness(long now) {
        double reported = Math.max(0, report.slowness() - baselineSlowness());
        double age = now - reportedAt + report.slownessAgeMilliseconds();
        return reported * Math.exp(-age / SLOWDOWN_DECAY_MILLISECONDS);
    }

    /** Expected number of calls at the target, including those of other entry nodes. */
    public double expectedCalls(long now) {
        int others = Math.max(0, report.running() + report.waiting() - ownInFlightAtReport);
        double weight = Math.exp(-(now - reportedAt) / OTHER_CALLS_DECAY_MILLISECONDS);
        return ownInFlight + others * weight;
    }

    /** Whether a call that is sent now is expected to start at once. */
    public boolean hasFreeSlot(long now) {
        return expectedCalls(now) + 1 <= limit() && startDelayMilliseconds(now) == 0;
    }

    /**
     * Time for which the request limit or the cold limit of the upstream delays the next call, in
     * milliseconds. The calls that this node has sent since the last report come before it. A cold
     * limit ends by itself when the upstream is warm.
     */
    double startDelayMilliseconds(long now) {
        double untilWarm =
                Math.max(0, (double) (reportedAt + report.coldRemainingMilliseconds() - now));
        double coldDelay = startDelay(report.coldIntervalMilliseconds(), now);
        return Math.max(
                startDelay(report.startIntervalMilliseconds(), now),
                Math.min(untilWarm, coldDelay));
    }

    private double startDelay(double intervalMilliseconds, long now) {
        if (intervalMilliseconds == 0) {
            return 0;
        }
        double left = Math.max(0, report.startDelayMilliseconds() - (now - reportedAt));
        int sentSince = Math.max(0, ownInFlight - ownInFlightAtReport);
        return left + sentSince * intervalMilliseconds;
    }

    /** Mean age of this node's calls in flight, in milliseconds; 0 when there are none. */
    double meanInFlightAge(long now) {
        return ownInFlight == 0 ? 0 : (double) (now * ownInFlight - sumOfSentAt) / ownInFlight;
    }

    /** Maximum number of calls that may run at the target concurrently. */
    int limit() {
        return Math.max(1, report.limit());
    }
}
