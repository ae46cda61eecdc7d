package org.damaskmoor.core.routing.internal;

import java.util.concurrent.TimeUnit;
import org.damaskmoor.core.hash.StableHash;
import org.damaskmoor.core.routing.Candidate;
import org.damaskmoor.core.routing.Distance;
import org.damaskmoor.core.routing.Target;
import org.damaskmoor.schema.mesh.LoadReport;
import org.damaskmoor.schema.mesh.UpstreamState;

/**
 * Everything that an entry node tracks about one incarnation of a target.
 *
 * <p>The expected completion time is the network round trip, plus the service time for the request
 * and the queue ahead of it, plus penalties for failures and refusals. To react to a stalled target
 * before any answer arrives, the estimate is at least the mean age of the attempts in flight, up to
 * a bound. Not thread-safe.
 */
final class TargetState implements Candidate {
    /** Penalty for a failure: the time lost and the work of another attempt. */
    private static final double FAILURE_PENALTY_NANOSECONDS = TimeUnit.MILLISECONDS.toNanos(100);

    /** Penalty for a refusal: the round trip, and a token of the retry budget. */
    private static final double REFUSAL_PENALTY_NANOSECONDS = TimeUnit.MILLISECONDS.toNanos(20);

    /**
     * Caps the age of attempts at this many service times, because a request may be long by nature.
     */
    private static final double MAX_AGE_SERVICE_TIMES = 10;

    /** Fraction of the limit that is used at the beginning of slow start. */
    private static final double MIN_SLOW_START_SHARE = 0.1;

    private final RegionAverages averages;
    private final Distance distance;
    private final ReportedLoad reported;
    private final DecayingRate failures = new DecayingRate();
    private final DecayingRate refusals = new DecayingRate();
    private final TrafficShare trafficShare = new TrafficShare();
    private final ConnectBackoff connectBackoff = new ConnectBackoff();
    private final long slowStartNanoseconds;
    private final long hash;

    private Target target;
    private boolean leaving;
    private boolean slowStarting;
    private long slowStartedAtNanoseconds;
    private int ownInFlight;
    private long sumOfSentNanoseconds;
    private long lastChoice;

    TargetState(
            Target target, Distance distance, RegionAverages averages, long slowStartNanoseconds) {
        this.target = target;
        this.distance = distance;
        this.averages = averages;
        this.slowStartNanoseconds = slowStartNanoseconds;
        this.reported = new ReportedLoad(averages, target.capacity());
        this.hash = StableHash.of(target.id().node().value());
    }

    @Override
    public Target target() {
        return target;
    }

    @Override
    public Distance distance() {
        return distance;
    }

    @Override
    public int ownInFlight() {
        return ownInFlight;
    }

    @Override
    public long lastChoice() {
        return lastChoice;
    }

    @Override
    public double expectedLoad(long now) {
        return ownInFlight + reported.loadOfOthers(now);
    }

    @Override
    public double expectedNanoseconds(long now) {
        double occupancy = (expectedLoad(now) + 1) / (reported.limit(now) * slowStartShare(now));
        double service = reported.latencyNanoseconds(now);
        double completion = Math.max(service * Math.max(1, occupancy), meanAge(service, now));
        return distance.roundTripNanoseconds()
                + completion
                + service * occupancy
                + failurePenalty(now)
                + refusalPenalty(now);
    }

    /** Hash of the node's name, for rendezvous hashing. */
    long nodeHash() {
        return hash;
    }

    double limit(long now) {
        return reported.limit(now);
    }

    boolean takesNewWork() {
        return !leaving && target.takesNewWork();
    }

    boolean isAvailable(long now) {
        return takesNewWork() && connectBackoff.isReachable(now);
    }

    /** Fraction of the target's normal traffic that ejection leaves it. */
    double share(long now) {
        return trafficShare.at(now);
    }

    double failureRate(long now) {
        return Math.max(failures.at(now), reported.failureRate(now));
    }

    void eject(double allowance, long now) {
        trafficShare.reduce(allowance, now);
    }

    /** Applies a newer membership record of the same incarnation. */
    void update(Target newer, long now) {
        boolean returned = newer.state() == UpstreamState.SERVING && !takesNewWork();
        boolean warmed =
                newer.state() == UpstreamState.SERVING && target.state() == UpstreamState.WARMING;
        if (newer.state() != target.state()) {
            leaving = false;
        }
        target = newer;
        if ((returned || warmed) && !leaving) {
            startSlowStart(now);
        }
    }

    void startSlowStart(long now) {
        slowStarting = true;
        slowStartedAtNanoseconds = now;
    }

    void onChosen(long choice) {
        lastChoice = choice;
    }

    void onSent(long now) {
        ownInFlight++;
        sumOfSentNanoseconds += now;
    }

    void onEnded(long elapsed, long now) {
        if (ownInFlight == 0) {
            return;
        }
        ownInFlight--;
        sumOfSentNanoseconds = ownInFlight == 0 ? 0 : sumOfSentNanoseconds - (now - elapsed);
    }

    void onSuccess(long now) {
        failures.add(false, now);
        refusals.add(false, now);
        trafficShare.onSuccess(now);
        connectBackoff.reset();
    }

    void onFailure(long now) {
        failures.add(true, now);
    }

    /** Records a refusal for lack of capacity. */
    void onRefusal(long now) {
        refusals.add(true, now);
    }

    void onLoadReport(LoadReport report, long now) {
        connectBackoff.reset();
        reported.onReport(report, ownInFlight, now);
        if (report.getState() == UpstreamState.LEAVING) {
            leaving = true;
        } else if (leaving && report.getState() == UpstreamState.SERVING) {
            leaving = false;
            startSlowStart(now);
        }
    }

    void markLeaving() {
        leaving = true;
    }

    void onConnectFailed(long now) {
        connectBackoff.onConnectFailed(now);
    }

    private double slowStartShare(long now) {
        if (target.state() == UpstreamState.WARMING) {
            return MIN_SLOW_START_SHARE;
        }
        if (!slowStarting) {
            return 1;
        }
        double share = (double) (now - slowStartedAtNanoseconds) / slowStartNanoseconds;
        if (share >= 1) {
            slowStarting = false;
            return 1;
        }
        return Math.max(MIN_SLOW_START_SHARE, share);
    }

    /**
     * Mean age of the attempts in flight, averaged together with one attempt whose age is the
     * service time, so that a single attempt has only half the weight. Both sums may overflow, but
     * their difference is exact.
     */
    private double meanAge(double service, long now) {
        if (ownInFlight == 0) {
            return 0;
        }
        long ages = ownInFlight * now - sumOfSentNanoseconds;
        long roundTrips = ownInFlight * distance.roundTripNanoseconds();
        double mean = (ages - roundTrips + service) / (ownInFlight + 1);
        return Math.min(mean, MAX_AGE_SERVICE_TIMES * service);
    }

    /** The rate is squared so that a single failure among many successes has little effect. */
    private double failurePenalty(long now) {
        double rate = failureRate(now);
        if (rate == 0) {
            return 0;
        }
        return rate
                * rate
                * Math.max(FAILURE_PENALTY_NANOSECONDS, 10 * averages.latencyNanoseconds());
    }

    private double refusalPenalty(long now) {
        double rate = refusals.at(now);
        return rate * rate * REFUSAL_PENALTY_NANOSECONDS;
    }
}
