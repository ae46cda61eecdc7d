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
 * Keeps a suspicion for each request that was in flight at a crash.
 *
 * <p>A crash counts for {@link #WINDOW_SECONDS}; a request is held while two count, so that nodes
 * that heard of both hold it for about the same time. Invariant: at most {@link #MOST_SUSPICIONS}.
 * Not thread-safe.
 */
public final class CrashQuarantine implements Quarantine {
    private static final int WINDOW_SECONDS = 60;
    private static final long WINDOW_NANOSECONDS = TimeUnit.SECONDS.toNanos(WINDOW_SECONDS);

    /** A record that a peer tells of again counts no longer than this by its delay on the way. */
    private static final long ECHO_NANOSECONDS = TimeUnit.SECONDS.toNanos(5);

    private static final int MOST_SUSPICIONS = 1024;
    private static final int MOST_PER_CRASH = 256;

    private final Map<RequestFingerprint, CrashHistory> suspicions = new LinkedHashMap<>();
    private final AnsweredFingerprints answered = new AnsweredFingerprints();

    @Override
    public void onAnswered(RequestFingerprint request, long now) {
        answered.add(request, now);
        if (!suspicions.isEmpty()) {
            suspicions.remove(request);
        }
    }

    @Override
    public List<CrashRecord> onCrash(
            NodeId node,
            Incarnation incarnation,
            Collection<RequestFingerprint> inFlight,
            long now) {
        List<CrashRecord> news = new ArrayList<>();
        for (RequestFingerprint request : inFlight) {
            CrashRecord record = new CrashRecord(request, node, incarnation, WINDOW_SECONDS);
            if (news.size() < MOST_PER_CRASH && take(record, 1, now)) {
                news.add(record);
            }
        }
        return news;
    }

    @Override
    public boolean merge(CrashRecord record, long now) {
        return take(record, ECHO_NANOSECONDS, now);
    }

    @Override
    public boolean isQuarantined(RequestFingerprint request, long now) {
        if (suspicions.isEmpty()) {
            return false;
        }
        CrashHistory suspicion = suspicions.get(request);
        return suspicion != null && suspicion.remainingNanoseconds(now) > 0;
    }

    @Override
    public long retryAfterMilliseconds(RequestFingerprint request, long now) {
        CrashHistory suspicion = suspicions.get(request);
        long held = suspicion == null ? 0 : suspicion.remainingNanoseconds(now);
        return TimeUnit.NANOSECONDS.toMillis(Math.max(0, held));
    }

    @Override
    public List<CrashRecord> records(long now) {
        suspicions.values().removeIf(suspicion -> suspicion.isExpired(now));
        List<CrashRecord> records = new ArrayList<>();
        for (CrashHistory suspicion : suspicions.values()) {
            records.addAll(suspicion.records(now));
        }
        return records;
    }

    private boolean take(CrashRecord record, long leastGainNanoseconds, long now) {
        RequestFingerprint request = record.fingerprint();
        if (record.remainingSeconds() <= 0
                || answered.answeredWithin(request, WINDOW_NANOSECONDS, now)) {
            return false;
        }
        int seconds = Math.min(WINDOW_SECONDS, record.remainingSeconds());
        long expiresAt = now + TimeUnit.SECONDS.toNanos(seconds);
        return suspicionOf(request, now).add(record, expiresAt, leastGainNanoseconds, now);
    }

    /** Rounded down, so that a record that is told on and on ends. */
    static int wholeSeconds(long nanoseconds) {
        return (int) Math.max(0, TimeUnit.NANOSECONDS.toSeconds(nanoseconds));
    }

    private CrashHistory suspicionOf(RequestFingerprint request, long now) {
        CrashHistory known = suspicions.get(request);
        if (known != null) {
            return known;
        }
        if (suspicions.size() >= MOST_SUSPICIONS) {
            makeRoom(now);
        }
        CrashHistory suspicion = new CrashHistory();
        suspicions.put(request, suspicion);
        return suspicion;
    }

    private void makeRoom(long now) {
        suspicions.values().removeIf(suspicion -> suspicion.isExpired(now));
        if (suspicions.size() >= MOST_SUSPICIONS) {
            Iterator<CrashHistory> oldest = suspicions.values().iterator();
            oldest.next();
            oldest.remove();
        }
    }
}
