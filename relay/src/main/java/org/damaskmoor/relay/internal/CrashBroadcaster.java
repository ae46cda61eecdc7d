package org.damaskmoor.relay.internal;

import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.function.Supplier;
import java.util.random.RandomGenerator;
import org.damaskmoor.core.id.NodeId;
import org.damaskmoor.relay.internal.fleet.FleetTarget;
import org.damaskmoor.relay.internal.log.EventLog;
import org.damaskmoor.relay.internal.time.Timers;
import org.damaskmoor.schema.gossip.QuarantineRecord;
import org.damaskmoor.schema.link.FleetNews;

/**
 * Sends crash records to the other nodes.
 *
 * <p>A node sends the records of its own upstream to all nodes, and those that it hears to a few,
 * so that they also reach nodes to which their origin has no link. If each node sent what it hears
 * to all, one crash would cause as many messages as there are pairs of nodes.
 *
 * <p>Confined to the event loop. Invariant: records of the same short time leave in one message.
 */
final class CrashBroadcaster {
    /** Records are collected for this long, because upstreams that overload crash in series. */
    private static final long BATCH_MILLISECONDS = 100;

    /** Nodes to which a heard record is sent. */
    private static final int FORWARD_TARGETS = 3;

    private final NodeId self;
    private final Supplier<Collection<FleetTarget>> members;
    private final Timers timers;
    private final RandomGenerator random;
    private final EventLog log;
    private final List<QuarantineRecord> own = new ArrayList<>();
    private final List<QuarantineRecord> heard = new ArrayList<>();
    private boolean scheduled;

    CrashBroadcaster(
            NodeId self,
            Supplier<Collection<FleetTarget>> members,
            Timers timers,
            RandomGenerator random,
            EventLog log) {
        this.self = self;
        this.members = members;
        this.timers = timers;
        this.random = random;
        this.log = log;
    }

    /** The upstream of this node crashed; the records are sent to all nodes. */
    void onOwnCrash(List<QuarantineRecord> records) {
        add(own, records);
    }

    /** A peer sent records that were not known here; they are sent to a few nodes. */
    void onHeard(List<QuarantineRecord> records) {
        add(heard, records);
    }

    private void add(List<QuarantineRecord> batch, List<QuarantineRecord> records) {
        batch.addAll(records);
        if (!records.isEmpty() && !scheduled) {
            scheduled = true;
            timers.schedule(BATCH_MILLISECONDS, this::flush);
        }
    }

    private void flush() {
        scheduled = false;
        if (!heard.isEmpty()) {
            log.event("crash-heard").with("records", heard.size()).write();
        }
        List<FleetTarget> all = new ArrayList<>(members.get());
        all.removeIf(target -> target.node().equals(self));
        send(own, all);
        List<FleetTarget> some = new ArrayList<>();
        while (some.size() < FORWARD_TARGETS && !all.isEmpty()) {
            some.add(all.remove(random.nextInt(all.size())));
        }
        send(heard, some);
    }

    private static void send(List<QuarantineRecord> batch, List<FleetTarget> targets) {
        if (!batch.isEmpty()) {
            FleetNews update = FleetNews.newBuilder().addAllCrashes(batch).build();
            targets.forEach(target -> target.link().send(update));
            batch.clear();
        }
    }
}
