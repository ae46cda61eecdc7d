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
 * Queue of updates to be piggybacked on datagrams; the updates sent least often go first.
 *
 * <p>Invariants: only the newest update of each subject is sent; each update is sent a bounded
 * number of times. Not thread-safe; used on the protocol thread.
 */
final class BroadcastQueue {
    private static final int FIELD_OVERHEAD_BYTES = 4;

    private final Map<Object, Long> newestNumbers = new HashMap<>();
    private final List<Deque<Update>> byTransmissions = new ArrayList<>();

    private long added;

    private record Update(Object subject, long number, MessageLite content) {}

    private record Subject(Class<?> kind, Object name) {}

    void add(MessageLite content) {
        Object subject = subjectOf(content);
        Update update = new Update(subject, ++added, content);
        newestNumbers.put(subject, added);
        level(0).addFirst(update);
    }

    boolean isEmpty() {
        return newestNumbers.isEmpty();
    }

    /**
     * Adds updates to the message until it is full, each update at most {@code limit} times in
     * total.
     */
    void fill(GossipMessage.Builder message, int budgetBytes, int limit) {
        int remainingBytes = budgetBytes;
        List<Update> taken = new ArrayList<>();
        List<Integer> levels = new ArrayList<>();
        for (int transmissions = 0; transmissions < byTransmissions.size(); transmissions++) {
            Deque<Update> queue = byTransmissions.get(transmissions);
            Update update = queue.peekFirst();
            while (update != null) {
                boolean stale = newestNumbers.getOrDefault(update.subject, 0L) != update.number;
                if (!stale && transmissions < limit) {
                    int bytes = update.content.getSerializedSize() + FIELD_OVERHEAD_BYTES;
                    if (bytes > remainingBytes) {
                        requeue(taken, levels);
                        return;
                    }
                    remainingBytes -= bytes;
                    append(message, update.content);
                    taken.add(update);
                    levels.add(transmissions + 1);
                } else if (!stale) {
                    newestNumbers.remove(update.subject);
                }
                queue.removeFirst();
                update = queue.peekFirst();
            }
        }
        requeue(taken, levels);
    }

    private void requeue(List<Update> taken, List<Integer> levels) {
        for (int i = 0; i < taken.size(); i++) {
            level(levels.get(i)).addLast(taken.get(i));
        }
    }

    private Deque<Update> level(int transmissions) {
        while (byTransmissions.size() <= transmissions) {
            byTransmissions.add(new ArrayDeque<>());
        }
        return byTransmissions.get(transmissions);
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
