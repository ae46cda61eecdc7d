package org.damaskmoor.core.admission.internal;

import java.util.HashMap;
import java.util.Map;
import org.damaskmoor.core.admission.AdmissionRequest;
import org.damaskmoor.core.id.RequestId;

/**
 * Requests in flight, and the recent typical service time.
 *
 * <p>The typical time is never below the mean age of what is in flight, so that an upstream that
 * has just become slow shows before its next answer. Not thread-safe.
 */
final class ServiceTimeTracker {
    private static final double NEWS_WEIGHT = 0.1;

    /** Some requests take long by nature; their age says only so much of the upstream. */
    private static final double MOST_MEANS_OF_AGE = 10;

    private final Map<RequestId, Flight> flights = new HashMap<>();
    private double meanNanoseconds;
    private long sumOfStartsNanoseconds;

    private record Flight(AdmissionRequest request, long startedAtNanoseconds) {}

    int inFlight() {
        return flights.size();
    }

    void onStarted(AdmissionRequest request, long now) {
        flights.put(request.id(), new Flight(request, now));
        sumOfStartsNanoseconds += now;
    }

    /** The request that ended, or null when it was not in flight. */
    AdmissionRequest onEnded(RequestId id) {
        Flight flight = flights.remove(id);
        if (flight == null) {
            return null;
        }
        sumOfStartsNanoseconds -= flight.startedAtNanoseconds;
        return flight.request;
    }

    void onAnswered(long latencyNanoseconds) {
        double weight = meanNanoseconds == 0 ? 1 : NEWS_WEIGHT;
        meanNanoseconds += weight * (latencyNanoseconds - meanNanoseconds);
    }

    /** Mean of recent service times, or 0 when none is known. */
    double meanNanoseconds() {
        return meanNanoseconds;
    }

    /** The mean, or the mean age of what is in flight if that is more. */
    double typicalNanoseconds(long now) {
        int count = flights.size();
        if (count == 0) {
            return meanNanoseconds;
        }
        double age = (double) (count * now - sumOfStartsNanoseconds) / count;
        double most = meanNanoseconds == 0 ? age : MOST_MEANS_OF_AGE * meanNanoseconds;
        return Math.max(meanNanoseconds, Math.min(age, most));
    }
}
