package org.damaskmoor.core.quarantine.internal;

import java.util.ArrayList;
import java.util.List;
import org.damaskmoor.core.quarantine.CrashRecord;

/**
 * The crashes at which one request was in flight: at most two, of different upstreams.
 *
 * <p>Not thread-safe.
 */
final class CrashHistory {
    private static final int QUARANTINE_CRASHES = 2;

    private final List<Crash> crashes = new ArrayList<>(QUARANTINE_CRASHES);

    private record Crash(CrashRecord record, long expiresAtNanoseconds) {}

    /**
     * Adds a crash. Of crashes of more than two upstreams, the two that expire last are kept.
     *
     * @param minExtensionNanoseconds by how much later it must expire than the crash that it
     *     replaces
     * @return whether the crash was added
     */
    boolean add(CrashRecord record, long expiresAt, long minExtensionNanoseconds, long now) {
        crashes.removeIf(crash -> crash.expiresAtNanoseconds - now <= 0);
        Crash replaced = replacedBy(record);
        if (replaced != null) {
            if (expiresAt - replaced.expiresAtNanoseconds < minExtensionNanoseconds) {
                return false;
            }
            crashes.remove(replaced);
        }
        crashes.add(new Crash(record, expiresAt));
        return true;
    }

    /** Remaining time for which the request is quarantined; 0 or less when it is not. */
    long remainingNanoseconds(long now) {
        if (crashes.size() < QUARANTINE_CRASHES) {
            return 0;
        }
        return earliest().expiresAtNanoseconds - now;
    }

    boolean isExpired(long now) {
        return crashes.stream().allMatch(crash -> crash.expiresAtNanoseconds - now <= 0);
    }

    /** Returns the records that have not expired, with the whole seconds left for each. */
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

    /**
     * Returns the known crash of the same upstream, or the one that expires first when the history
     * is full, or null.
     */
    private Crash replacedBy(CrashRecord record) {
        for (Crash crash : crashes) {
            if (crash.record.node().equals(record.node())) {
                return crash;
            }
        }
        return crashes.size() < QUARANTINE_CRASHES ? null : earliest();
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
