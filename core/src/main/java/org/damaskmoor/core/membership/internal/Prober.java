package org.damaskmoor.core.membership.internal;

import java.util.List;
import org.damaskmoor.schema.gossip.Acknowledgement;
import org.damaskmoor.schema.gossip.GossipMessage;
import org.damaskmoor.schema.gossip.NegativeAcknowledgement;
import org.damaskmoor.schema.gossip.Ping;
import org.damaskmoor.schema.gossip.PingRequest;

/**
 * SWIM failure detector: probes the members of the local region in random order, first directly,
 * then through other members. A member that answers neither way is suspected.
 *
 * <p>Invariant: at most one probe is in progress. Not thread-safe; used on the protocol thread.
 */
final class Prober {
    private static final long DEAD_PROBE_INTERVAL_MILLISECONDS = 10_000;

    private final MembershipView view;
    private int nextIndex;
    private Probe probe;
    private long nextProbeMilliseconds;
    private long nextDeadProbeMilliseconds;

    private static final class Probe {
        final Member target;
        final long incarnation;
        final long sequence;
        final long startedMilliseconds;
        boolean indirectSent;
        int helpersAsked;
        int helpersThatAnswered;

        Probe(Member target, long sequence, long nowMilliseconds) {
            this.target = target;
            this.incarnation = target.record.getIncarnation();
            this.sequence = sequence;
            this.startedMilliseconds = nowMilliseconds;
        }
    }

    Prober(MembershipView view, long nowMilliseconds) {
        this.view = view;
        long interval = view.settings.probeIntervalMilliseconds();
        nextProbeMilliseconds = nowMilliseconds + view.random.nextLong(interval);
        nextDeadProbeMilliseconds =
                nowMilliseconds + view.random.nextLong(DEAD_PROBE_INTERVAL_MILLISECONDS);
    }

    void tick(long nowMilliseconds) {
        probeDead(nowMilliseconds);
        if (probe != null) {
            checkProgress(nowMilliseconds);
        }
        if (probe == null && nowMilliseconds >= nextProbeMilliseconds) {
            start(nowMilliseconds);
        }
    }

    /**
     * Cancels the current probe after a pause of this process, because a missing answer may be due
     * to the pause.
     */
    void cancelProbe() {
        probe = null;
    }

    private void start(long nowMilliseconds) {
        long interval = view.settings.probeIntervalMilliseconds();
        nextProbeMilliseconds = nowMilliseconds + view.health.scale(interval);
        Member target = nextTarget();
        if (target != null) {
            probe = new Probe(target, ping(target), nowMilliseconds);
        }
    }

    private Member nextTarget() {
        List<Member> members = view.table.presentIn(view.region());
        for (int tries = 0; tries < 2 && !members.isEmpty(); tries++) {
            if (nextIndex >= members.size()) {
                nextIndex = 0;
                view.table.shuffle(view.region());
            }
            Member target = members.get(nextIndex++);
            if (!view.isSelf(target.id())) {
                return target;
            }
        }
        return null;
    }

    private long ping(Member target) {
        Ping.Builder ping = Ping.newBuilder().setTarget(target.id());
        return view.messageSender.send(target, GossipMessage.newBuilder().setPing(ping));
    }

    private void checkProgress(long nowMilliseconds) {
        long waited = nowMilliseconds - probe.startedMilliseconds;
        if (waited >= view.health.scale(view.settings.probeIntervalMilliseconds())) {
            fail(nowMilliseconds);
        } else if (!probe.indirectSent
                && waited >= view.health.scale(view.settings.probeTimeoutMilliseconds())) {
            sendIndirectProbes();
        }
    }

    private void sendIndirectProbes() {
        probe.indirectSent = true;
        for (int i = 0; i < view.settings.indirectProbes(); i++) {
            Member helper = view.table.randomIn(view.region(), view.self.getNodeId());
            if (helper != null && helper != probe.target) {
                PingRequest.Builder request =
                        PingRequest.newBuilder()
                                .setTarget(probe.target.id())
                                .setSequence(probe.sequence);
                view.messageSender.send(helper, GossipMessage.newBuilder().setPingRequest(request));
                probe.helpersAsked++;
            }
        }
    }

    private void fail(long nowMilliseconds) {
        int unresponsiveHelpers = Math.max(0, probe.helpersAsked - probe.helpersThatAnswered);
        view.health.degrade(probe.helpersAsked == 0 ? 1 : unresponsiveHelpers);
        Probe failed = probe;
        probe = null;
        if (failed.target.record.getIncarnation() == failed.incarnation) {
            view.suspect(failed.target, nowMilliseconds);
        }
    }

    private void probeDead(long nowMilliseconds) {
        if (nowMilliseconds < nextDeadProbeMilliseconds) {
            return;
        }
        nextDeadProbeMilliseconds = nowMilliseconds + DEAD_PROBE_INTERVAL_MILLISECONDS;
        Member dead = view.table.randomDead(view.region());
        if (dead != null) {
            ping(dead);
        }
    }

    void onAcknowledgement(Acknowledgement acknowledgement) {
        if (probe != null && probe.sequence == acknowledgement.getOfSequence()) {
            probe = null;
            view.health.improve();
        }
    }

    void onNegativeAcknowledgement(NegativeAcknowledgement acknowledgement) {
        if (probe != null && probe.sequence == acknowledgement.getOfSequence()) {
            probe.helpersThatAnswered++;
        }
    }
}
