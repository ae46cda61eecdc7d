package org.damaskmoor.bench.simulation;

import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import java.util.HashMap;
import java.util.Map;
import org.damaskmoor.schema.gossip.GossipMessage;

/**
 * Carries datagrams between state machines in one process and counts them. Every datagram arrives
 * at the tick after the one it was sent at, in order.
 *
 * <p>Invariant: nothing is lost. Not thread-safe.
 */
final class VirtualNetwork {
    /** What the headers of IP and UDP add to each datagram. */
    private static final int HEADER_BYTES = 28;

    private final Map<Integer, SimulatedMember> byPort = new HashMap<>();
    private ArrayDeque<Datagram> underWay = new ArrayDeque<>();
    private long datagrams;
    private long bytes;
    private long paidBytes;

    private record Datagram(SimulatedMember from, InetSocketAddress to, GossipMessage message) {}

    void add(SimulatedMember member) {
        byPort.put(member.port(), member);
    }

    void send(SimulatedMember from, InetSocketAddress to, GossipMessage message) {
        underWay.add(new Datagram(from, to, message));
        int size = message.getSerializedSize() + HEADER_BYTES;
        datagrams++;
        bytes += size;
        SimulatedMember receiver = byPort.get(to.getPort());
        if (receiver != null && !receiver.region().equals(from.region())) {
            paidBytes += size;
        }
    }

    void deliver(long nowMilliseconds) {
        ArrayDeque<Datagram> arriving = underWay;
        underWay = new ArrayDeque<>();
        for (Datagram datagram : arriving) {
            SimulatedMember receiver = byPort.get(datagram.to.getPort());
            if (receiver != null) {
                receiver.receive(datagram.message, datagram.from.address(), nowMilliseconds);
            }
        }
    }

    Totals totals() {
        return new Totals(datagrams, bytes, paidBytes);
    }

    /** Counts since the start. */
    record Totals(long datagrams, long bytes, long paidBytes) {
        Totals minus(Totals former) {
            return new Totals(
                    datagrams - former.datagrams,
                    bytes - former.bytes,
                    paidBytes - former.paidBytes);
        }
    }
}
