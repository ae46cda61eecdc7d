package org.damaskmoor.core.quarantine.internal;

import java.util.ArrayList;
import java.util.List;
import org.damaskmoor.core.quarantine.CrashRecord;

/**
 * The crashes at which one request was in flight, one for each upstream, two at most.
 *
 * <p>Not thread-safe.
 */
final class CrashHistory {
    private static final int CRASHES_TO_HOLD = 2;

    private final List<Crash> crashes = new ArrayList<>(CRASHES_TO_HOLD);

    private record Crash(CrashRecord record, long expiresAtNanoseconds) {}

    /**
     * Takes a crash in; of more than two upstreams the two crashes that count for longest are kept.
     *
     * @param leastGainNanoseconds by how much longer it must count than what is kept already
     * @return whether it was taken
     */
    boolean add(CrashRecord record, long expiresAt, long leastGainNanoseconds, long now) {
        crashes.removeIf(crash -> crash.expiresAtNanoseconds - now <= 0);
        Crash replaced = replacedBy(record);
        if (replaced != null) {
            if (expiresAt - replaced.expiresAtNanoseconds < leastGainNanoseconds) {
                return false;
            }
            crashes.remove(replaced);
        }
        crashes.add(new Crash(record, expiresAt));
        return true;
    }

    /** Time for which the request is held, counted from now; 0 or less: it is not held. */
    long remainingNanoseconds(long now) {
        if (crashes.size() < CRASHES_TO_HOLD) {
            return 0;
        }
        return earliest().expiresAtNanoseconds - now;
    }

    boolean isExpired(long now) {
        return crashes.stream().allMatch(crash -> crash.expiresAtNanoseconds - now <= 0);
    }

    /** The records that still count, with the whole seconds left of each. */
    List<CrashRecord> records(long now) {
        List<CrashRecord> records = new ArrayList<>();
        for (Crash crash : crashes) {
            int seconds = CrashQuarantine.wholeSeconds(crash.expiresAtNanoseconds - now);
            if (seconds > 0) {
                records.add(crash.record.withRemainingSeconds(seconds));
            }
        }
        return records;
    }

    /** The earlier crash of the same upstream, else the one that counts least when full. */
    private Crash replacedBy(CrashRecord record) {
        for (Crash crash : crashes) {
            if (crash.record.node().equals(record.node())) {
                return crash;
            }
        }
        return crashes.size() < CRASHES_TO_HOLD ? null : earliest();
    }

    private Crash earliest() {
        Crash earliest = crashes.get(0);
        for (Crash crash : crashes) {
            if (crash.expiresAtNanoseconds - earliest.expiresAtNanoseconds < 0) {
                earliest = crash;
            }
        }
        return earliest;
    }
}
