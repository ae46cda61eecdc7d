package org.damaskmoor.core.membership.internal;

import com.google.protobuf.MessageLite;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.damaskmoor.schema.gossip.ConfigurationVersion;
import org.damaskmoor.schema.gossip.GossipMessage;
import org.damaskmoor.schema.gossip.MemberRecord;
import org.damaskmoor.schema.gossip.QuarantineRecord;
import org.damaskmoor.schema.gossip.RegionOpinion;

/**
 * News that waits to ride on datagrams, what was sent least often first.
 *
 * <p>Invariants: of each subject only the newest item waits; each item is handed out a bounded
 * number of times. Confined to the thread that drives the protocol.
 */
final class BroadcastQueue {
    private static final int FIELD_OVERHEAD_BYTES = 4;

    private final Map<Object, Long> newest = new HashMap<>();
    private final List<Deque<Item>> bySendings = new ArrayList<>();

    private long added;

    private record Item(Object subject, long number, MessageLite content) {}

    private record Subject(Class<?> kind, Object name) {}

    void add(MessageLite content) {
        Object subject = subjectOf(content);
        Item item = new Item(subject, ++added, content);
        newest.put(subject, added);
        level(0).addFirst(item);
    }

    boolean isEmpty() {
        return newest.isEmpty();
    }

    /** Puts items into the message until it is full, each at most {@code limit} times in all. */
    void fill(GossipMessage.Builder message, int budgetBytes, int limit) {
        int left = budgetBytes;
        List<Item> taken = new ArrayList<>();
        List<Integer> levels = new ArrayList<>();
        for (int sendings = 0; sendings < bySendings.size(); sendings++) {
            Deque<Item> waiting = bySendings.get(sendings);
            Item item = waiting.peekFirst();
            while (item != null) {
                boolean stale = newest.getOrDefault(item.subject, 0L) != item.number;
                if (!stale && sendings < limit) {
                    int bytes = item.content.getSerializedSize() + FIELD_OVERHEAD_BYTES;
                    if (bytes > left) {
                        putBack(taken, levels);
                        return;
                    }
                    left -= bytes;
                    append(message, item.content);
                    taken.add(item);
                    levels.add(sendings + 1);
                } else if (!stale) {
                    newest.remove(item.subject);
                }
                waiting.removeFirst();
                item = waiting.peekFirst();
            }
        }
        putBack(taken, levels);
    }

    private void putBack(List<Item> taken, List<Integer> levels) {
        for (int i = 0; i < taken.size(); i++) {
            level(levels.get(i)).addLast(taken.get(i));
        }
    }

    private Deque<Item> level(int sendings) {
        while (bySendings.size() <= sendings) {
            bySendings.add(new ArrayDeque<>());
        }
        return bySendings.get(sendings);
    }

    private static void append(GossipMessage.Builder message, MessageLite content) {
        if (content instanceof MemberRecord member) {
            message.addNews(member);
        } else if (content instanceof ConfigurationVersion version) {
            message.addConfigurationNews(version);
        } else if (content instanceof QuarantineRecord quarantine) {
            message.addQuarantineNews(quarantine);
        } else if (content instanceof RegionOpinion opinion) {
            message.addRegionNews(opinion);
        }
    }

    private static Object subjectOf(MessageLite content) {
        Object name = content;
        if (content instanceof MemberRecord member) {
            name = member.getNodeId();
        } else if (content instanceof ConfigurationVersion version) {
            name = version.getService();
        } else if (content instanceof QuarantineRecord quarantine) {
            name = quarantine.getFingerprint();
        } else if (content instanceof RegionOpinion opinion) {
            name = List.of(opinion.getRegion(), opinion.getObserver());
        }
        return new Subject(content.getClass(), name);
    }
}
