package org.damaskmoor.core.quarantine.internal;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import org.damaskmoor.core.id.Incarnation;
import org.damaskmoor.core.id.NodeId;
import org.damaskmoor.core.quarantine.CrashRecord;
import org.damaskmoor.core.quarantine.Quarantine;
import org.damaskmoor.core.quarantine.RequestFingerprint;

/**
 * Keeps a crash history for each request that was in flight at a crash.
 *
 * <p>A crash record expires after {@link #WINDOW_SECONDS}. A request is quarantined while it has
 * two records, so that all nodes that know both quarantine it for about the same time. Invariant:
 * at most {@link #MAX_SUSPECTS} histories. Not thread-safe.
 */
public final class CrashQuarantine implements Quarantine {
    private static final int WINDOW_SECONDS = 60;
    private static final long WINDOW_NANOSECONDS = TimeUnit.SECONDS.toNanos(WINDOW_SECONDS);

    /**
     * A record from a peer replaces the known one of the same upstream only if it expires later by
     * at least this much; a smaller difference is due to the gossip delay.
     */
    private static final long MIN_EXTENSION_NANOSECONDS = TimeUnit.SECONDS.toNanos(5);

    private static final int MAX_SUSPECTS = 1024;
    private static final int MAX_RECORDS_PER_CRASH = 256;

    private final Map<RequestFingerprint, CrashHistory> histories = new LinkedHashMap<>();
    private final AnsweredFingerprints answered = new AnsweredFingerprints();

    @Override
    public void onAnswered(RequestFingerprint request, long now) {
        answered.add(request, now);
        if (!histories.isEmpty()) {
            histories.remove(request);
        }
    }

    @Override
    public List<CrashRecord> onCrash(
            NodeId node,
            Incarnation incarnation,
            Collection<RequestFingerprint> inFlight,
            long now) {
        List<CrashRecord> newRecords = new ArrayList<>();
        for (RequestFingerprint request : inFlight) {
            CrashRecord record = new CrashRecord(request, node, incarnation, WINDOW_SECONDS);
            if (newRecords.size() < MAX_RECORDS_PER_CRASH && addRecord(record, 1, now)) {
                newRecords.add(record);
            }
        }
        return newRecords;
    }

    @Override
    public boolean merge(CrashRecord record, long now) {
        return addRecord(record, MIN_EXTENSION_NANOSECONDS, now);
    }

    @Override
    public boolean isQuarantined(RequestFingerprint request, long now) {
        if (histories.isEmpty()) {
            return false;
        }
        CrashHistory history = histories.get(request);
        return history != null && history.remainingNanoseconds(now) > 0;
    }

    @Override
    public long retryAfterMilliseconds(RequestFingerprint request, long now) {
        CrashHistory history = histories.get(request);
        long remaining = history == null ? 0 : history.remainingNanoseconds(now);
        return TimeUnit.NANOSECONDS.toMillis(Math.max(0, remaining));
    }

    @Override
    public List<CrashRecord> records(long now) {
        histories.values().removeIf(history -> history.isExpired(now));
        List<CrashRecord> records = new ArrayList<>();
        for (CrashHistory history : histories.values()) {
            records.addAll(history.records(now));
        }
        return records;
    }

    private boolean addRecord(CrashRecord record, long minExtensionNanoseconds, long now) {
        RequestFingerprint request = record.fingerprint();
        if (record.remainingSeconds() <= 0
                || answered.answeredWithin(request, WINDOW_NANOSECONDS, now)) {
            return false;
        }
        int seconds = Math.min(WINDOW_SECONDS, record.remainingSeconds());
        long expiresAt = now + TimeUnit.SECONDS.toNanos(seconds);
        return historyOf(request, now).add(record, expiresAt, minExtensionNanoseconds, now);
    }

    /** Rounded down, so that a record that is forwarded repeatedly expires. */
    static int wholeSeconds(long nanoseconds) {
        return (int) Math.max(0, TimeUnit.NANOSECONDS.toSeconds(nanoseconds));
    }

    private CrashHistory historyOf(RequestFingerprint request, long now) {
        CrashHistory known = histories.get(request);
        if (known != null) {
            return known;
        }
        if (histories.size() >= MAX_SUSPECTS) {
            makeRoom(now);
        }
        CrashHistory history = new CrashHistory();
        histories.put(request, history);
        return history;
    }

    private void makeRoom(long now) {
        histories.values().removeIf(history -> history.isExpired(now));
        if (histories.size() >= MAX_SUSPECTS) {
            Iterator<CrashHistory> oldest = histories.values().iterator();
            oldest.next();
            oldest.remove();
        }
    }
}
