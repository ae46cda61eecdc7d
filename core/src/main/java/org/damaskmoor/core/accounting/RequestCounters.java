package org.damaskmoor.core.accounting;

import java.util.EnumMap;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.damaskmoor.schema.accounting.RequestCount;

/**
 * Counts completed requests by service, kind and minute in bounded memory, for service levels.
 *
 * <p>At {@code maximumKeys} a new key is counted under service and kind {@link
 * RefusalCounters#FOLDED} of its hour; {@link #folded()} counts the requests for which that
 * happened.
 *
 * <p>Invariant: every request is counted once; keys never exceed the bound by more than one per
 * hour. Not thread-safe.
 */
public final class RequestCounters {
    private static final int MINUTES_PER_HOUR = 60;

    private record Key(String service, String kind, long epochMinute) {}

    private static final class Amounts {
        private long requests;
        private final Map<RequestOutcome, Long> weightByEnd = new EnumMap<>(RequestOutcome.class);
        private final long[] buckets = new long[LatencyBuckets.COUNT];
    }

    private final int maximumKeys;
    private final Map<Key, Amounts> amounts = new HashMap<>();
    private long folded;

    /**
     * Creates empty counters; {@code maximumKeys} is the number of keys at which kinds are folded.
     */
    public RequestCounters(int maximumKeys) {
        this.maximumKeys = maximumKeys;
    }

    /** Counts one request. */
    public void add(CompletedRequest request) {
        Key key = keyWithinBounds(request);
        Amounts sums = amounts.computeIfAbsent(key, unused -> new Amounts());
        sums.requests++;
        sums.weightByEnd.merge(request.end(), request.weight(), Long::sum);
        sums.buckets[LatencyBuckets.indexOf(request.latencyMilliseconds())]++;
    }

    private Key keyWithinBounds(CompletedRequest request) {
        Key key = new Key(request.service().value(), request.kind(), request.epochMinute());
        if (amounts.containsKey(key) || amounts.size() < maximumKeys) {
            return key;
        }
        folded++;
        long minute = request.epochMinute();
        return new Key(
                RefusalCounters.FOLDED,
                RefusalCounters.FOLDED,
                minute - Math.floorMod(minute, MINUTES_PER_HOUR));
    }

    /** Returns the counts, one per key. */
    public List<RequestCount> counts() {
        return amounts.entrySet().stream()
                .map(entry -> count(entry.getKey(), entry.getValue()))
                .toList();
    }

    private static RequestCount count(Key key, Amounts sums) {
        RequestCount.Builder count =
                RequestCount.newBuilder()
                        .setService(key.service())
                        .setKind(key.kind())
                        .setEpochMinute(key.epochMinute())
                        .setRequests(sums.requests)
                        .setAnsweredInTimeWeight(weight(sums, RequestOutcome.ANSWERED_IN_TIME))
                        .setLateWeight(weight(sums, RequestOutcome.LATE))
                        .setRefusedWeight(weight(sums, RequestOutcome.REFUSED))
                        .setUnknownWeight(weight(sums, RequestOutcome.UNKNOWN))
                        .setFailedWeight(weight(sums, RequestOutcome.FAILED));
        long total = sums.weightByEnd.values().stream().mapToLong(Long::longValue).sum();
        for (long bucket : sums.buckets) {
            count.addLatencyBuckets(bucket);
        }
        return count.setWeight(total).build();
    }

    private static long weight(Amounts sums, RequestOutcome end) {
        return sums.weightByEnd.getOrDefault(end, 0L);
    }

    /** Returns the number of requests counted under {@link RefusalCounters#FOLDED}. */
    public long folded() {
        return folded;
    }

    /** Returns the number of keys in use. */
    public int size() {
        return amounts.size();
    }
}
