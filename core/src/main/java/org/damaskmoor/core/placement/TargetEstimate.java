package org.damaskmoor.core.placement;

/**
 * What an entry node expects of one target: from its last report, from its age, and from the calls
 * that this node itself has sent there since.
 *
 * <p>Answers load that moves faster than reports: a slow moment that was told is forgotten within
 * {@link #MOMENT_MEMORY_MILLISECONDS}, and calls that are out for long count against the target
 * before any answer comes. Times are in milliseconds of one monotonic clock. Not thread-safe.
 */
public final class TargetEstimate {
    /** A slow moment is forgotten at this pace; shared VMs change several times a second. */
    private static final double MOMENT_MEMORY_MILLISECONDS = 120;

    /** Calls of other entries that a report counted are forgotten at this pace. */
    private static final double OTHERS_MEMORY_MILLISECONDS = 600;

    /** Weight of one outcome in the failure rate. */
    private static final double FAILURE_NEWS_WEIGHT = 0.15;

    /** A failure rate halves in this time without news, so that a target is tried again. */
    private static final double FAILURE_HALF_LIFE_MILLISECONDS = 2000;

    private final Proximity nearness;
    private LoadSnapshot report;
    private long reportedAt;
    private int ownAtReport;
    private int ownInFlight;
    private long sumOfSent;
    private double failureRate;
    private long failureAt;
    private long avoidUntil;

    public TargetEstimate(Proximity nearness, int slots, long now) {
        this.nearness = nearness;
        this.report = LoadSnapshot.unknown(slots);
        this.reportedAt = now;
    }

    /** How far it stands from here. */
    public Proximity nearness() {
        return nearness;
    }

    /** A report came. */
    public void onLoadReport(LoadSnapshot news, long now) {
        report = news;
        reportedAt = now;
        ownAtReport = ownInFlight;
    }

    /** A call was sent there. */
    public void onSent(long now) {
        ownInFlight++;
        sumOfSent += now;
    }

    /** A call that was sent at the given time has ended there, in whatever way. */
    public void onEnded(long sentAt) {
        ownInFlight--;
        sumOfSent -= sentAt;
        ownAtReport = Math.max(0, ownAtReport - 1);
    }

    /** A call was answered or failed. */
    public void onOutcome(boolean failed, long now) {
        double rate = failureRate(now);
        failureRate = rate + FAILURE_NEWS_WEIGHT * ((failed ? 1 : 0) - rate);
        failureAt = now;
    }

    /** Leaves it out until the given time: it can't be reached. */
    public void avoidUntil(long time) {
        avoidUntil = Math.max(avoidUntil, time);
    }

    /** Whether it is left out now. */
    public boolean isAvoided(long now) {
        return now < avoidUntil;
    }

    /** Part of recent calls that failed. */
    public double failureRate(long now) {
        double age = Math.max(0, now - failureAt);
        return failureRate * Math.pow(0.5, age / FAILURE_HALF_LIFE_MILLISECONDS);
    }

    /** How long work takes there when no slow moment adds to it, 1 is as usual. */
    public double baselineSlowness() {
        return report.steadySlowness() > 0 ? report.steadySlowness() : 1;
    }

    /** How much longer a slow moment makes work there now; 0 when none is expected. */
    public double transientSlowness(long now) {
        double told = Math.max(0, report.slowness() - baselineSlowness());
        double age = now - reportedAt + report.slownessAgeMilliseconds();
        return told * Math.exp(-age / MOMENT_MEMORY_MILLISECONDS);
    }

    /** Calls expected there now, those of other entries included. */
    public double expectedCalls(long now) {
        int others = Math.max(0, report.running() + report.waiting() - ownAtReport);
        double memory = Math.exp(-(now - reportedAt) / OTHERS_MEMORY_MILLISECONDS);
        return ownInFlight + others * memory;
    }

    /** Mean time that calls of this node have been out, in milliseconds; 0 when none is. */
    double meanInFlightAge(long now) {
        return ownInFlight == 0 ? 0 : (double) (now * ownInFlight - sumOfSent) / ownInFlight;
    }

    /** Calls that may run there at once. */
    int limit() {
        return Math.max(1, report.limit());
    }
}
