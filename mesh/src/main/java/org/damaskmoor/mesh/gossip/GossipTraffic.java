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

    /** Bytes sent in messages of a kind. */
    public long sentBytes(BodyCase kind) {
        return sent.get(kind).bytes.sum();
    }

    /** Datagrams of a kind that were sent. */
    public long sentDatagrams(BodyCase kind) {
        return sent.get(kind).datagrams.sum();
    }

    /** Bytes received in messages of a kind. */
    public long receivedBytes(BodyCase kind) {
        return received.get(kind).bytes.sum();
    }

    /** Datagrams of a kind that were received. */
    public long receivedDatagrams(BodyCase kind) {
        return received.get(kind).datagrams.sum();
    }

    /** Datagrams that could not be read and were ignored. */
    public long malformedDatagrams() {
        return malformed.sum();
    }

    /** Messages dropped because the socket did not take them. */
    public long unsentDatagrams() {
        return unsent.sum();
    }
}
