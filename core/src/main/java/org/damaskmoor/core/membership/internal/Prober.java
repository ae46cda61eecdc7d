package org.damaskmoor.core.membership.internal;

import java.util.List;
import org.damaskmoor.schema.gossip.Acknowledgement;
import org.damaskmoor.schema.gossip.GossipMessage;
import org.damaskmoor.schema.gossip.NegativeAcknowledgement;
import org.damaskmoor.schema.gossip.Ping;
import org.damaskmoor.schema.gossip.PingRequest;

/**
 * Probes the members of the own region one after the other in random order: directly, then through
 * others; who answers neither way is suspected.
 *
 * <p>Invariant: at most one probe is under way. Confined to the thread that drives the protocol.
 */
final class Prober {
    private static final long DEAD_PROBE_INTERVAL_MILLISECONDS = 10_000;

    private final MembershipView group;
    private int cursor;
    private Probe probe;
    private long nextProbeMilliseconds;
    private long nextDeadProbeMilliseconds;

    private static final class Probe {
        final Member target;
        final long incarnation;
        final long sequence;
        final long startedMilliseconds;
        boolean indirect;
        int helpersAsked;
        int helpersThatAnswered;

        Probe(Member target, long sequence, long nowMilliseconds) {
            this.target = target;
            this.incarnation = target.record.getIncarnation();
            this.sequence = sequence;
            this.startedMilliseconds = nowMilliseconds;
        }
    }

    Prober(MembershipView group, long nowMilliseconds) {
        this.group = group;
        long interval = group.settings.probeIntervalMilliseconds();
        nextProbeMilliseconds = nowMilliseconds + group.random.nextLong(interval);
        nextDeadProbeMilliseconds =
                nowMilliseconds + group.random.nextLong(DEAD_PROBE_INTERVAL_MILLISECONDS);
    }

    void tick(long nowMilliseconds) {
        probeDead(nowMilliseconds);
        if (probe != null) {
            follow(nowMilliseconds);
        }
        if (probe == null && nowMilliseconds >= nextProbeMilliseconds) {
            start(nowMilliseconds);
        }
    }

    /** Drops the probe under way: this node stood still, so its silence says nothing. */
    void cancelProbe() {
        probe = null;
    }

    private void start(long nowMilliseconds) {
        long interval = group.settings.probeIntervalMilliseconds();
        nextProbeMilliseconds = nowMilliseconds + group.health.scale(interval);
        Member target = nextTarget();
        if (target != null) {
            probe = new Probe(target, ping(target), nowMilliseconds);
        }
    }

    private Member nextTarget() {
        List<Member> members = group.table.presentIn(group.region());
        for (int tries = 0; tries < 2 && !members.isEmpty(); tries++) {
            if (cursor >= members.size()) {
                cursor = 0;
                group.table.shuffle(group.region());
            }
            Member target = members.get(cursor++);
            if (!group.isSelf(target.id())) {
                return target;
            }
        }
        return null;
    }

    private long ping(Member target) {
        Ping.Builder ping = Ping.newBuilder().setTarget(target.id());
        return group.outbox.send(target, GossipMessage.newBuilder().setPing(ping));
    }

    private void follow(long nowMilliseconds) {
        long waited = nowMilliseconds - probe.startedMilliseconds;
        if (waited >= group.health.scale(group.settings.probeIntervalMilliseconds())) {
            fail(nowMilliseconds);
        } else if (!probe.indirect
                && waited >= group.health.scale(group.settings.probeTimeoutMilliseconds())) {
            askOthers();
        }
    }

    private void askOthers() {
        probe.indirect = true;
        for (int i = 0; i < group.settings.indirectProbes(); i++) {
            Member helper = group.table.randomIn(group.region(), group.self.getNodeId());
            if (helper != null && helper != probe.target) {
                PingRequest.Builder request =
                        PingRequest.newBuilder()
                                .setTarget(probe.target.id())
                                .setSequence(probe.sequence);
                group.outbox.send(helper, GossipMessage.newBuilder().setPingRequest(request));
                probe.helpersAsked++;
            }
        }
    }

    private void fail(long nowMilliseconds) {
        int silentHelpers = Math.max(0, probe.helpersAsked - probe.helpersThatAnswered);
        group.health.degrade(probe.helpersAsked == 0 ? 1 : silentHelpers);
        Probe failed = probe;
        probe = null;
        if (failed.target.record.getIncarnation() == failed.incarnation) {
            group.suspect(failed.target, nowMilliseconds);
        }
    }

    private void probeDead(long nowMilliseconds) {
        if (nowMilliseconds < nextDeadProbeMilliseconds) {
            return;
        }
        nextDeadProbeMilliseconds = nowMilliseconds + DEAD_PROBE_INTERVAL_MILLISECONDS;
        Member dead = group.table.randomDead(group.region());
        if (dead != null) {
            ping(dead);
        }
    }

    void onAcknowledgement(Acknowledgement acknowledgement) {
        if (probe != null && probe.sequence == acknowledgement.getOfSequence()) {
            probe = null;
            group.health.improve();
        }
    }

    void onNegativeAcknowledgement(NegativeAcknowledgement acknowledgement) {
        if (probe != null && probe.sequence == acknowledgement.getOfSequence()) {
            probe.helpersThatAnswered++;
        }
    }
}
