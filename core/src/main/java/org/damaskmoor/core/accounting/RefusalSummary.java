package org.damaskmoor.core.accounting;

import java.util.Comparator;
import java.util.List;
import org.damaskmoor.schema.mesh.RefusalReason;

/**
 * Refusals of a time span by service, caller and reason, with the known uncertainties. Immutable
 * and thread-safe.
 *
 * @param lines the sums in order of key
 * @param gaps refusals answered before a peer had stored them; they are in the sums, unless their
 *     node was lost before it flushed
 * @param missing batches that were lost: their refusals are not in the sums
 * @param folded refusals whose caller was folded at the key limit
 */
public record RefusalSummary(
        List<Line> lines, List<Gap> gaps, List<MissingBatches> missing, long folded) {
    public RefusalSummary {
        lines = List.copyOf(lines);
        gaps = List.copyOf(gaps);
        missing = List.copyOf(missing);
    }

    /** Returns the total number of refusals. */
    public long total() {
        return lines.stream().mapToLong(Line::count).sum();
    }

    /**
     * The sum of one key.
     *
     * @param key service, caller and reason
     * @param count refusals
     * @param weight their weights
     */
    public record Line(Key key, long count, long weight) {
        /**
         * The key by which refusals are summed.
         *
         * @param service the service's name
         * @param caller the caller's name
         * @param reason why they were refused
         */
        public record Key(String service, String caller, RefusalReason reason)
                implements Comparable<Key> {
            private static final Comparator<Key> ORDER =
                    Comparator.comparing(Key::service)
                            .thenComparing(Key::caller)
                            .thenComparing(Key::reason);

            @Override
            public int compareTo(Key other) {
                return ORDER.compare(this, other);
            }
        }
    }

    /**
     * Refusals of a minute that were answered before a peer had stored them.
     *
     * @param node the node that refused
     * @param incarnation its incarnation
     * @param epochMinute the minute
     * @param count how many
     */
    public record Gap(String node, long incarnation, long epochMinute, long count) {}

    /**
     * Batches that were lost with their node.
     *
     * @param node the node that refused
     * @param incarnation its incarnation
     * @param first sequence of the first lost batch
     * @param last sequence of the last lost batch
     */
    public record MissingBatches(String node, long incarnation, long first, long last) {}
}
