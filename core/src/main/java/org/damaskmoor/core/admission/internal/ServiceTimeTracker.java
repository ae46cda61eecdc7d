package org.damaskmoor.core.admission.internal;

import java.util.HashMap;
import java.util.Map;
import org.damaskmoor.core.admission.AdmissionRequest;
import org.damaskmoor.core.id.RequestId;

/**
 * Tracks the requests in flight and the typical recent service time.
 *
 * <p>The typical time is at least the mean age of the requests in flight, up to a bound, so that a
 * stalled upstream is noticed before its next answer. Not thread-safe.
 */
final class ServiceTimeTracker {
    private static final double SAMPLE_WEIGHT = 0.1;

    /**
     * Caps the mean age at this many mean service times, because some requests are long by nature.
     */
    private static final double MAX_AGE_MEANS = 10;

    private final Map<RequestId, InFlight> inFlightById = new HashMap<>();
    private double meanNanoseconds;
    private long sumOfStartsNanoseconds;

    private record InFlight(AdmissionRequest request, long startedAtNanoseconds) {}

    int inFlight() {
        return inFlightById.size();
    }

    void onStarted(AdmissionRequest request, long now) {
        inFlightById.put(request.id(), new InFlight(request, now));
        sumOfStartsNanoseconds += now;
    }

    /** Returns the request that ended, or null when it was not in flight. */
    AdmissionRequest onEnded(RequestId id) {
        InFlight inFlight = inFlightById.remove(id);
        if (inFlight == null) {
            return null;
        }
        sumOfStartsNanoseconds -= inFlight.startedAtNanoseconds;
        return inFlight.request;
    }

    void onAnswered(long latencyNanoseconds) {
        double weight = meanNanoseconds == 0 ? 1 : SAMPLE_WEIGHT;
        meanNanoseconds += weight * (latencyNanoseconds - meanNanoseconds);
    }

    /** Moving average of service times, or 0 before the first answer. */
    double meanNanoseconds() {
        return meanNanoseconds;
    }

    /**
     * The mean service time, or the bounded mean age of the requests in flight if that is greater.
     */
    double typicalNanoseconds(long now) {
        int count = inFlightById.size();
        if (count == 0) {
            return meanNanoseconds;
        }
        double age = (double) (count * now - sumOfStartsNanoseconds) / count;
        double maxAge = meanNanoseconds == 0 ? age : MAX_AGE_MEANS * meanNanoseconds;
        return Math.max(meanNanoseconds, Math.min(age, maxAge));
    }
}
