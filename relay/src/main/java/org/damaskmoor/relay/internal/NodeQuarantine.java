package org.damaskmoor.relay.internal;

import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.damaskmoor.core.id.Incarnation;
import org.damaskmoor.core.id.NodeId;
import org.damaskmoor.core.quarantine.CrashRecord;
import org.damaskmoor.core.quarantine.Quarantine;
import org.damaskmoor.core.quarantine.RequestFingerprint;
import org.damaskmoor.relay.internal.entry.QuarantinedRequests;
import org.damaskmoor.relay.internal.time.Timers;
import org.damaskmoor.schema.gossip.QuarantineRecord;

/**
 * The crash records known to this node, which decide which requests are quarantined. Confined to
 * the event loop.
 */
final class NodeQuarantine implements QuarantinedRequests {
    private final NodeId self;
    private final Incarnation incarnation;
    private final Timers timers;
    private final Quarantine quarantine = Quarantine.create();
    private boolean any;
    private long crashes;

    NodeQuarantine(NodeId self, Incarnation incarnation, Timers timers) {
        this.self = self;
        this.incarnation = incarnation;
        this.timers = timers;
    }

    /** Records a crash of this node's upstream; returns the records to send to peers. */
    List<QuarantineRecord> onUpstreamCrashed(Collection<RequestFingerprint> running) {
        if (running.isEmpty()) {
            return List.of();
        }
        any = true;
        crashes++;
        Incarnation crash = new Incarnation(incarnation.value() + crashes);
        List<QuarantineRecord> records = new ArrayList<>();
        quarantine
                .onCrash(self, crash, running, now())
                .forEach(record -> records.add(record.toMessage()));
        return records;
    }

    /** Merges records of peers; returns those that were not known. */
    List<QuarantineRecord> merge(List<QuarantineRecord> received) {
        List<QuarantineRecord> added = new ArrayList<>();
        for (QuarantineRecord record : received) {
            if (quarantine.merge(CrashRecord.of(record), now())) {
                any = true;
                added.add(record);
            }
        }
        return added;
    }

    /** All known records. */
    List<QuarantineRecord> records() {
        List<QuarantineRecord> records = new ArrayList<>();
        quarantine.records(now()).forEach(record -> records.add(record.toMessage()));
        return records;
    }

    void onAnswered(RequestFingerprint request) {
        quarantine.onAnswered(request, now());
    }

    @Override
    public boolean hasAny() {
        return any;
    }

    @Override
    public boolean contains(RequestFingerprint request) {
        return any && quarantine.isQuarantined(request, now());
    }

    private static long nanoseconds(long milliseconds) {
        return TimeUnit.MILLISECONDS.toNanos(milliseconds);
    }

    private long now() {
        return nanoseconds(timers.now());
    }
}
