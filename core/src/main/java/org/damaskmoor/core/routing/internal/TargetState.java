package org.damaskmoor.core.routing.internal;

import java.util.concurrent.TimeUnit;
import org.damaskmoor.core.hash.StableHash;
import org.damaskmoor.core.routing.Candidate;
import org.damaskmoor.core.routing.Distance;
import org.damaskmoor.core.routing.Target;
import org.damaskmoor.schema.mesh.LoadReport;
import org.damaskmoor.schema.mesh.UpstreamState;

/**
 * All that an entry node knows of one incarnation of a target.
 *
 * <p>Expected completion is the round trip, plus the service time for each turn of the queue, plus
 * failures and refusals as time. Attempts that are out for long speak before any answer does: the
 * estimate is not below their mean age, within bounds. Not thread-safe.
 */
final class TargetState implements Candidate {
    /** What a failure costs its caller: the time lost and the work of another attempt. */
    private static final double FAILURE_NANOSECONDS = TimeUnit.MILLISECONDS.toNanos(100);

    /** What a refusal costs: the way there and back, and a part of the retry budget. */
    private static final double REFUSAL_NANOSECONDS = TimeUnit.MILLISECONDS.toNanos(20);

    /** No age of a request weighs more than this many service times: it may be a long one. */
    private static final double MOST_SERVICE_TIMES_OF_AGE = 10;

    /** The part of its limit that counts right after a cold start. */
    private static final double LEAST_SLOW_START_SHARE = 0.1;

    private final RegionAverages prior;
    private final Distance distance;
    private final ReportedLoad heard;
    private final DecayingRate failures = new DecayingRate();
    private final DecayingRate refusals = new DecayingRate();
    private final TrafficShare ejected = new TrafficShare();
    private final ConnectBackoff reachability = new ConnectBackoff();
    private final long slowStartNanoseconds;
    private final long hash;

    private Target target;
    private boolean leaving;
    private boolean cold;
    private long servingSinceNanoseconds;
    private int ownInFlight;
    private long sumOfSentNanoseconds;
    private long lastChoice;

    TargetState(Target target, Distance distance, RegionAverages prior, long slowStartNanoseconds) {
        this.target = target;
        this.distance = distance;
        this.prior = prior;
        this.slowStartNanoseconds = slowStartNanoseconds;
        this.heard = new ReportedLoad(prior, target.capacity());
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
        return ownInFlight + heard.loadOfOthers(now);
    }

    @Override
    public double expectedNanoseconds(long now) {
        double occupancy = (expectedLoad(now) + 1) / (heard.limit(now) * slowStartShare(now));
        double service = heard.latencyNanoseconds(now);
        double completion = Math.max(service * Math.max(1, occupancy), meanAge(service, now));
        return distance.roundTripNanoseconds()
                + completion
                + service * occupancy
                + failureNanoseconds(now)
                + refusalNanoseconds(now);
    }

    /** The hash of the node's name, by which keys are placed. */
    long nodeHash() {
        return hash;
    }

    double limit(long now) {
        return heard.limit(now);
    }

    boolean takesNewWork() {
        return !leaving && target.takesNewWork();
    }

    boolean isAvailable(long now) {
        return takesNewWork() && reachability.isReachable(now);
    }

    /** Part of its normal traffic that ejection leaves it. */
    double share(long now) {
        return ejected.at(now);
    }

    double failureRate(long now) {
        return Math.max(failures.at(now), heard.failureRate(now));
    }

    void eject(double allowance, long now) {
        ejected.reduce(allowance, now);
    }

    /** Takes over a newer record of the same incarnation. */
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
        cold = true;
        servingSinceNanoseconds = now;
    }

    void onChosen(long choice) {
        lastChoice = choice;
    }

    void onSent(long now) {
        ownInFlight++;
        sumOfSentNanoseconds += now;
    }

    void onEnded(long waited, long now) {
        if (ownInFlight == 0) {
            return;
        }
        ownInFlight--;
        sumOfSentNanoseconds = ownInFlight == 0 ? 0 : sumOfSentNanoseconds - (now - waited);
    }

    void onSuccess(long now) {
        failures.add(false, now);
        refusals.add(false, now);
        ejected.onSuccess(now);
        reachability.reset();
    }

    void onFailure(long now) {
        failures.add(true, now);
    }

    /** Refused for want of capacity. */
    void onRefusal(long now) {
        refusals.add(true, now);
    }

    void onLoadReport(LoadReport report, long now) {
        reachability.reset();
        heard.onReport(report, ownInFlight, now);
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
        reachability.onConnectFailed(now);
    }

    private double slowStartShare(long now) {
        if (target.state() == UpstreamState.WARMING) {
            return LEAST_SLOW_START_SHARE;
        }
        if (!cold) {
            return 1;
        }
        double part = (double) (now - servingSinceNanoseconds) / slowStartNanoseconds;
        if (part >= 1) {
            cold = false;
            return 1;
        }
        return Math.max(LEAST_SLOW_START_SHARE, part);
    }

    /**
     * Mean age of own attempts and one of usual age, so that a lone one weighs half. Sums wrap
     * around together, so that their difference is exact.
     */
    private double meanAge(double service, long now) {
        if (ownInFlight == 0) {
            return 0;
        }
        long ages = ownInFlight * now - sumOfSentNanoseconds;
        long onTheWay = ownInFlight * distance.roundTripNanoseconds();
        double mean = (ages - onTheWay + service) / (ownInFlight + 1);
        return Math.min(mean, MOST_SERVICE_TIMES_OF_AGE * service);
    }

    /** Squared, so that a lone failure among many successes weighs little. */
    private double failureNanoseconds(long now) {
        double rate = failureRate(now);
        if (rate == 0) {
            return 0;
        }
        return rate * rate * Math.max(FAILURE_NANOSECONDS, 10 * prior.latencyNanoseconds());
    }

    private double refusalNanoseconds(long now) {
        double rate = refusals.at(now);
        return rate * rate * REFUSAL_NANOSECONDS;
    }
}
