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
 * Suspected members of the own region and the time they have left to refute. The wait shortens with
 * each independent suspicion (Lifeguard). Members of other regions are judged by their own region.
 *
 * <p>Invariant: only members that stand as suspect have an entry. Confined to the thread that
 * drives the protocol.
 */
final class SuspicionTimers {
    private static final int CONFIRMATIONS_FOR_SHORTEST_WAIT = 3;

    private final MembershipView group;
    private final Map<String, Suspicion> suspicions = new HashMap<>();

    private static final class Suspicion {
        final Set<String> suspecters = new HashSet<>();
        long startedMilliseconds;

        Suspicion(String suspecter, long nowMilliseconds) {
            suspecters.add(suspecter);
            startedMilliseconds = nowMilliseconds;
        }
    }

    SuspicionTimers(MembershipView group) {
        this.group = group;
    }

    void onChange(MemberRecord record, long nowMilliseconds) {
        boolean judgedHere = record.getRegion().equals(group.region());
        if (judgedHere && record.getState() == MemberState.SUSPECT) {
            suspicions.put(
                    record.getNodeId(), new Suspicion(record.getSuspectedBy(), nowMilliseconds));
        } else {
            suspicions.remove(record.getNodeId());
        }
    }

    /** Counts an independent suspicion; returns whether it is worth telling onwards. */
    boolean confirm(MemberRecord record, long nowMilliseconds) {
        Suspicion suspicion = suspicions.get(record.getNodeId());
        if (suspicion == null || record.getState() != MemberState.SUSPECT) {
            return false;
        }
        MemberRecord known = group.table.find(record.getNodeId()).record;
        if (RecordOrder.compare(record, known) != 0) {
            return false;
        }
        return suspicion.suspecters.size() <= CONFIRMATIONS_FOR_SHORTEST_WAIT
                && suspicion.suspecters.add(record.getSuspectedBy());
    }

    void tick(long nowMilliseconds) {
        if (suspicions.isEmpty()) {
            return;
        }
        List<Member> expired = new ArrayList<>();
        for (Map.Entry<String, Suspicion> entry : suspicions.entrySet()) {
            long deadline = entry.getValue().startedMilliseconds + wait(entry.getValue());
            if (nowMilliseconds >= deadline) {
                expired.add(group.table.find(entry.getKey()));
            }
        }
        expired.forEach(member -> group.declareDead(member, nowMilliseconds));
    }

    /** A time in which this node stood still does not count against others. */
    void extend(long milliseconds) {
        suspicions.values().forEach(each -> each.startedMilliseconds += milliseconds);
    }

    private long wait(Suspicion suspicion) {
        int members = group.table.presentIn(group.region()).size();
        double decades = Math.max(1, Math.log10(members));
        double shortest =
                group.settings.suspicionMultiplier()
                        * decades
                        * group.settings.probeIntervalMilliseconds();
        int helpful = Math.min(CONFIRMATIONS_FOR_SHORTEST_WAIT, members - 3);
        if (helpful < 1) {
            return (long) shortest;
        }
        double longest = shortest * group.settings.suspicionStretch();
        int confirmations = Math.min(helpful, suspicion.suspecters.size() - 1);
        double share = Math.log(confirmations + 1.0) / Math.log(helpful + 1.0);
        return (long) (longest - (longest - shortest) * share);
    }
}
