package org.damaskmoor.mesh.gossip;

import java.util.EnumMap;
import java.util.Map;
import java.util.concurrent.atomic.LongAdder;
import org.damaskmoor.schema.gossip.GossipMessage;
import org.damaskmoor.schema.gossip.GossipMessage.BodyCase;

/**
 * Counts datagrams and their bytes, without the headers of IP and UDP, by kind of message.
 *
 * <p>Invariant: counts only grow. Thread-safe.
 */
public final class GossipTraffic {
    private final Map<BodyCase, Count> sent = counts();
    private final Map<BodyCase, Count> received = counts();
    private final LongAdder malformed = new LongAdder();
    private final LongAdder unsent = new LongAdder();

    private record Count(LongAdder datagrams, LongAdder bytes) {
        void add(int size) {
            datagrams.increment();
            bytes.add(size);
        }
    }

    private static Map<BodyCase, Count> counts() {
        Map<BodyCase, Count> counts = new EnumMap<>(BodyCase.class);
        for (BodyCase kind : BodyCase.values()) {
            counts.put(kind, new Count(new LongAdder(), new LongAdder()));
        }
        return counts;
    }

    void onSent(GossipMessage message, int bytes) {
        sent.get(message.getBodyCase()).add(bytes);
    }

    void onReceived(GossipMessage message, int bytes) {
        received.get(message.getBodyCase()).add(bytes);
    }

    void onMalformed() {
        malformed.increment();
    }

    void onUnsent() {
        unsent.increment();
    }

    /** Returns the bytes sent in messages of a kind. */
    public long sentBytes(BodyCase kind) {
        return sent.get(kind).bytes.sum();
    }

    /** Returns the number of datagrams of a kind that were sent. */
    public long sentDatagrams(BodyCase kind) {
        return sent.get(kind).datagrams.sum();
    }

    /** Returns the bytes received in messages of a kind. */
    public long receivedBytes(BodyCase kind) {
        return received.get(kind).bytes.sum();
    }

    /** Returns the number of datagrams of a kind that were received. */
    public long receivedDatagrams(BodyCase kind) {
        return received.get(kind).datagrams.sum();
    }

    /** Returns the number of malformed datagrams, which were ignored. */
    public long malformedDatagrams() {
        return malformed.sum();
    }

    /** Returns the number of messages that could not be written to the socket and were dropped. */
    public long unsentDatagrams() {
        return unsent.sum();
    }
}
