package org.damaskmoor.core.accounting;

import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.damaskmoor.schema.accounting.RefusalObject;
import org.damaskmoor.schema.mesh.RefusalCount;
import org.damaskmoor.schema.mesh.RefusalGap;

/**
 * Serialises a group into one object for each hour with counts or gaps, so that a reader of an hour
 * lists only its objects.
 *
 * <p>Invariant: the same group always gives the same names, {@code refusals/{epoch
 * hour}/{node}/{incarnation}/{first}-{last}}. Stateless and thread-safe.
 */
public final class RefusalObjects {
    /** Prefix of the names of all refusal objects. */
    public static final String PREFIX = "refusals/";

    private static final long MINUTES_PER_HOUR = 60;

    private RefusalObjects() {}

    /** Returns the prefix of the names of one hour's objects. */
    public static String hourPrefix(long epochHour) {
        return PREFIX + epochHour + "/";
    }

    /** Returns the objects that contain the group. */
    public static List<NamedObject> of(RefusalGroup group) {
        TreeMap<Long, RefusalObject.Builder> hours = new TreeMap<>();
        for (RefusalCount count : group.counts()) {
            hour(hours, group, count.getEpochMinute()).addCounts(count);
        }
        for (RefusalGap gap : group.gaps()) {
            hour(hours, group, gap.getEpochMinute()).addGaps(gap);
        }
        if (!hours.isEmpty()) {
            hours.firstEntry().getValue().setFolded(group.folded());
        }
        return hours.values().stream().map(RefusalObjects::named).toList();
    }

    private static RefusalObject.Builder hour(
            Map<Long, RefusalObject.Builder> hours, RefusalGroup group, long epochMinute) {
        return hours.computeIfAbsent(
                Math.floorDiv(epochMinute, MINUTES_PER_HOUR),
                epochHour ->
                        RefusalObject.newBuilder()
                                .setNodeId(group.owner().value())
                                .setIncarnation(group.incarnation().value())
                                .setFirstSequence(group.first())
                                .setLastSequence(group.last())
                                .setEpochHour(epochHour));
    }

    private static NamedObject named(RefusalObject.Builder object) {
        String name =
                hourPrefix(object.getEpochHour())
                        + object.getNodeId()
                        + "/"
                        + object.getIncarnation()
                        + "/"
                        + object.getFirstSequence()
                        + "-"
                        + object.getLastSequence();
        return new NamedObject(name, object.build().toByteString());
    }
}
