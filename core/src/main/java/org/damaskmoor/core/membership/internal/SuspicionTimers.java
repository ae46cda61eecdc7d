package org.damaskmoor.core.membership.internal;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.damaskmoor.schema.gossip.MemberRecord;
import org.damaskmoor.schema.gossip.MemberState;

/**
 * Timeouts of suspected members of the local region, after which they are declared dead. Each
 * independent suspicion shortens the timeout (Lifeguard). Members of other regions are declared
 * dead by their own region.
 *
 * <p>Invariant: only suspect members have a timer. Not thread-safe; used on the protocol thread.
 */
final class SuspicionTimers {
    private static final int CONFIRMATIONS_FOR_MIN_TIMEOUT = 3;

    private final MembershipView view;
    private final Map<String, Timer> timers = new HashMap<>();

    private static final class Timer {
        final Set<String> suspecters = new HashSet<>();
        long startedMilliseconds;

        Timer(String suspecter, long nowMilliseconds) {
            suspecters.add(suspecter);
            startedMilliseconds = nowMilliseconds;
        }
    }

    SuspicionTimers(MembershipView view) {
        this.view = view;
    }

    void onChange(MemberRecord record, long nowMilliseconds) {
        boolean inLocalRegion = record.getRegion().equals(view.region());
        if (inLocalRegion && record.getState() == MemberState.SUSPECT) {
            timers.put(record.getNodeId(), new Timer(record.getSuspectedBy(), nowMilliseconds));
        } else {
            timers.remove(record.getNodeId());
        }
    }

    /** Counts an independent suspicion; returns whether to forward it. */
    boolean confirm(MemberRecord record, long nowMilliseconds) {
        Timer timer = timers.get(record.getNodeId());
        if (timer == null || record.getState() != MemberState.SUSPECT) {
            return false;
        }
        MemberRecord known = view.table.find(record.getNodeId()).record;
        if (RecordOrder.compare(record, known) != 0) {
            return false;
        }
        return timer.suspecters.size() <= CONFIRMATIONS_FOR_MIN_TIMEOUT
                && timer.suspecters.add(record.getSuspectedBy());
    }

    void tick(long nowMilliseconds) {
        if (timers.isEmpty()) {
            return;
        }
        List<Member> expired = new ArrayList<>();
        for (Map.Entry<String, Timer> entry : timers.entrySet()) {
            long deadline =
                    entry.getValue().startedMilliseconds + timeoutMilliseconds(entry.getValue());
            if (nowMilliseconds >= deadline) {
                expired.add(view.table.find(entry.getKey()));
            }
        }
        expired.forEach(member -> view.declareDead(member, nowMilliseconds));
    }

    /** Extends all timeouts by a time in which this process was paused. */
    void extend(long milliseconds) {
        timers.values().forEach(each -> each.startedMilliseconds += milliseconds);
    }

    private long timeoutMilliseconds(Timer timer) {
        int members = view.table.presentIn(view.region()).size();
        double decades = Math.max(1, Math.log10(members));
        double minTimeout =
                view.settings.suspicionMultiplier()
                        * decades
                        * view.settings.probeIntervalMilliseconds();
        int maxConfirmations = Math.min(CONFIRMATIONS_FOR_MIN_TIMEOUT, members - 3);
        if (maxConfirmations < 1) {
            return (long) minTimeout;
        }
        double maxTimeout = minTimeout * view.settings.suspicionStretch();
        int confirmations = Math.min(maxConfirmations, timer.suspecters.size() - 1);
        double share = Math.log(confirmations + 1.0) / Math.log(maxConfirmations + 1.0);
        return (long) (maxTimeout - (maxTimeout - minTimeout) * share);
    }
}
