package org.damaskmoor.bench.simulation;

import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import java.util.HashMap;
import java.util.Map;
import org.damaskmoor.schema.gossip.GossipMessage;

/**
 * Delivers datagrams between simulated members and counts them. Each datagram arrives one tick
 * after it is sent, in order.
 *
 * <p>Invariant: no datagram to a known port is lost. Not thread-safe.
 */
final class VirtualNetwork {
    /** Bytes of the IP and UDP headers of each datagram. */
    private static final int HEADER_BYTES = 28;

    private final Map<Integer, SimulatedMember> byPort = new HashMap<>();
    private ArrayDeque<Datagram> inTransit = new ArrayDeque<>();
    private long datagrams;
    private long bytes;
    private long paidBytes;

    private record Datagram(SimulatedMember from, InetSocketAddress to, GossipMessage message) {}

    void add(SimulatedMember member) {
        byPort.put(member.port(), member);
    }

    void send(SimulatedMember from, InetSocketAddress to, GossipMessage message) {
        inTransit.add(new Datagram(from, to, message));
        int size = message.getSerializedSize() + HEADER_BYTES;
        datagrams++;
        bytes += size;
        SimulatedMember receiver = byPort.get(to.getPort());
        if (receiver != null && !receiver.region().equals(from.region())) {
            paidBytes += size;
        }
    }

    void deliver(long nowMilliseconds) {
        ArrayDeque<Datagram> arriving = inTransit;
        inTransit = new ArrayDeque<>();
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

    /** Traffic counters since the start. */
    record Totals(long datagrams, long bytes, long paidBytes) {
        Totals minus(Totals earlier) {
            return new Totals(
                    datagrams - earlier.datagrams,
                    bytes - earlier.bytes,
                    paidBytes - earlier.paidBytes);
        }
    }
}
