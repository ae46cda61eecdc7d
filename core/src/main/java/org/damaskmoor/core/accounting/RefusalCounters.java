package org.damaskmoor.core.accounting;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.damaskmoor.schema.mesh.RefusalCount;
import org.damaskmoor.schema.mesh.RefusalGap;

/**
 * Counts refusals by service, caller, reason and minute in bounded memory.
 *
 * <p>When {@code maximumKeys} are in use, a new key is counted under the caller {@link #FOLDED};
 * when a quarter more are in use, also under the service {@link #FOLDED} and the first minute of
 * its hour. {@link #folded()} counts the refusals for which that happened.
 *
 * <p>Invariants: no refusal is lost or counted twice by folding; keys never exceed five quarters of
 * {@code maximumKeys} by more than one per reason and hour. Not thread-safe.
 */
public final class RefusalCounters {
    /** Name under which callers or services are counted together at the key limit. */
    public static final String FOLDED = "(folded)";

    private static final int MAXIMUM_CALLER_CHARACTERS = 128;
    private static final int MAXIMUM_GAP_MINUTES = 24 * 60;
    private static final int MINUTES_PER_HOUR = 60;

    private record Key(String service, String caller, int reason, long epochMinute) {}

    private static final class Amount {
        private long count;
        private long weight;
    }

    private final int maximumKeys;
    private final Map<Key, Amount> amounts = new HashMap<>();
    private final TreeMap<Long, Long> gaps = new TreeMap<>();
    private long folded;

    /**
     * Creates empty counters; {@code maximumKeys} is the number of keys at which callers are
     * folded.
     */
    public RefusalCounters(int maximumKeys) {
        if (maximumKeys < 1) {
            throw new IllegalArgumentException(
                    "maximumKeys must be at least 1, but was " + maximumKeys + ".");
        }
        this.maximumKeys = maximumKeys;
    }

    /** Counts one refusal. */
    public void add(Refusal refusal) {
        String caller = refusal.caller().value();
        Key key =
                new Key(
                        refusal.service().value(),
                        caller.length() > MAXIMUM_CALLER_CHARACTERS ? FOLDED : caller,
                        refusal.reason().getNumber(),
                        refusal.epochMinute());
        if (caller.length() > MAXIMUM_CALLER_CHARACTERS) {
            folded++;
        }
        add(key, 1, refusal.weight());
    }

    /** Adds counts that were collected elsewhere. */
    public void addAll(List<RefusalCount> counts, List<RefusalGap> otherGaps, long otherFolded) {
        for (RefusalCount count : counts) {
            Key key =
                    new Key(
                            count.getService(),
                            count.getCaller(),
                            count.getReasonValue(),
                            count.getEpochMinute());
            add(key, count.getCount(), count.getWeight());
        }
        otherGaps.forEach(gap -> addGap(gap.getEpochMinute(), gap.getCount()));
        folded += otherFolded;
    }

    /** Records refusals of a minute that were answered before a peer had stored them. */
    public void addGap(long epochMinute, long count) {
        boolean full = gaps.size() >= MAXIMUM_GAP_MINUTES && !gaps.containsKey(epochMinute);
        gaps.merge(full ? gaps.lastKey() : Long.valueOf(epochMinute), count, Long::sum);
    }

    private void add(Key key, long count, long weight) {
        Key counted = keyWithinBounds(key);
        if (!counted.equals(key)) {
            folded += count;
        }
        Amount amount = amounts.computeIfAbsent(counted, unused -> new Amount());
        amount.count += count;
        amount.weight += weight;
    }

    private Key keyWithinBounds(Key key) {
        if (amounts.containsKey(key) || amounts.size() < maximumKeys) {
            return key;
        }
        Key withoutCaller = new Key(key.service(), FOLDED, key.reason(), key.epochMinute());
        if (amounts.containsKey(withoutCaller) || amounts.size() < maximumKeys / 4 * 5) {
            return withoutCaller;
        }
        long hourStart = key.epochMinute() - Math.floorMod(key.epochMinute(), MINUTES_PER_HOUR);
        return new Key(FOLDED, FOLDED, key.reason(), hourStart);
    }

    /** Returns the counts, one per key. */
    public List<RefusalCount> counts() {
        List<RefusalCount> counts = new ArrayList<>(amounts.size());
        amounts.forEach((key, amount) -> counts.add(count(key, amount)));
        return counts;
    }

    private static RefusalCount count(Key key, Amount amount) {
        return RefusalCount.newBuilder()
                .setService(key.service())
                .setCaller(key.caller())
                .setReasonValue(key.reason())
                .setEpochMinute(key.epochMinute())
                .setCount(amount.count)
                .setWeight(amount.weight)
                .build();
    }

    /** Returns the gaps, one per minute. */
    public List<RefusalGap> gaps() {
        return gaps.entrySet().stream()
                .map(
                        gap ->
                                RefusalGap.newBuilder()
                                        .setEpochMinute(gap.getKey())
                                        .setCount(gap.getValue())
                                        .build())
                .toList();
    }

    /** Returns the number of refusals counted under {@link #FOLDED}. */
    public long folded() {
        return folded;
    }

    /** Returns the number of keys in use. */
    public int size() {
        return amounts.size();
    }

    /** Returns whether there is neither a count nor a gap. */
    public boolean isEmpty() {
        return amounts.isEmpty() && gaps.isEmpty();
    }
}
