package org.damaskmoor.core.upstream;

import java.util.ArrayDeque;
import java.util.HashSet;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;

/**
 * Tracks the upstream on this VM: its current incarnation, whether it is leaving, and whether it is
 * reachable. Tolerates announcements that are late, duplicated, or from an earlier incarnation.
 * After a restart of this node it can wait for what the node knew before, because a late
 * announcement of an upstream that has left looks like that of a new one.
 *
 * <p>Invariants: an older announcement never replaces a newer one; an incarnation that has
 * announced that it leaves never accepts new calls again. Times are in milliseconds of one
 * monotonic clock. Not thread-safe.
 */
public final class UpstreamTracker {
    /** Number of earlier incarnations whose late announcements are recognised. */
    private static final int REMEMBERED_INCARNATIONS = 16;

    /** Sequence numbers up to which an announcement is one of the first of its incarnation. */
    private static final long MAX_FIRST_SEQUENCE = 3;

    /**
     * Dispatch stops this long before the end of the drain time, so that calls in transit arrive in
     * time.
     */
    private static final long DRAIN_MARGIN_MILLISECONDS = 400;

    private final long drainMilliseconds;
    private final ArrayDeque<Departed> departed = new ArrayDeque<>();
    private final Set<UpstreamId> departedWithoutStart = new HashSet<>();
    private UpstreamAnnouncement current;
    private boolean leaving;
    private long leavingSince;
    private boolean down;
    private boolean awaitingHistory;

    /** An incarnation that has announced that it leaves. */
    private record Departed(UpstreamId id, long startEpochMilliseconds) {
        boolean isSameIncarnation(UpstreamAnnouncement announcement) {
            return id.equals(announcement.id())
                    && startEpochMilliseconds == announcement.startEpochMilliseconds();
        }
    }

    /**
     * Creates a tracker without an upstream.
     *
     * @param drainMilliseconds how long a leaving upstream may receive calls after it announced
     *     that it leaves
     */
    public UpstreamTracker(long drainMilliseconds) {
        this.drainMilliseconds = drainMilliseconds;
    }

    /** The change caused by an announcement. */
    public enum Change {
        /** No change. */
        NONE,
        /** A new incarnation has appeared, or a known one is reachable again. */
        APPEARED,
        /** The upstream is leaving. */
        LEAVING
    }

    /** Accepts no calls until {@link #onHistoryKnown}. */
    public void awaitHistory() {
        awaitingHistory = true;
    }

    /** Called when it is known what departed before this node was restarted, or can't be known. */
    public void onHistoryKnown() {
        awaitingHistory = false;
    }

    /** Whether what departed before this node was restarted is not known yet. */
    public boolean isAwaitingHistory() {
        return awaitingHistory;
    }

    /**
     * Restores the knowledge that an incarnation has left, from before this node was restarted.
     *
     * @param startedAt start time of the incarnation, in milliseconds since the epoch
     */
    public void restoreDeparture(UpstreamId id, long startedAt, long now) {
        Departed restored = new Departed(id, startedAt);
        addDeparted(restored);
        if (current != null && restored.isSameIncarnation(current) && !leaving) {
            leaving = true;
            leavingSince = now - drainMilliseconds;
        }
    }

    /** Processes an announcement of the upstream. */
    public Change onAnnouncement(UpstreamAnnouncement announcement, long now) {
        learnDeparture(announcement);
        if (hasLeft(announcement) || (current != null && !announcement.isNewerThan(current))) {
            return Change.NONE;
        }
        boolean sameIncarnation = current != null && announcement.isSameIncarnation(current);
        boolean wasDown = down;
        current = announcement;
        if (!sameIncarnation) {
            leaving = false;
        }
        down = false;
        if (announcement.draining() && !leaving) {
            return startLeaving(now);
        }
        return !sameIncarnation || (wasDown && !leaving) ? Change.APPEARED : Change.NONE;
    }

    /**
     * Processes a message that the upstream is leaving. An incarnation that has not announced
     * itself yet, for example because this node was restarted, is remembered as well.
     *
     * @param startedAt start time of the leaving incarnation, if known
     */
    public Change onLeave(UpstreamId id, OptionalLong startedAt, long now) {
        boolean isCurrent =
                current != null
                        && current.id().equals(id)
                        && (startedAt.isEmpty()
                                || startedAt.getAsLong() == current.startEpochMilliseconds());
        if (!isCurrent) {
            startedAt.ifPresentOrElse(
                    start -> addDeparted(new Departed(id, start)), () -> addUnknownDeparture(id));
            return Change.NONE;
        }
        return leaving ? Change.NONE : startLeaving(now);
    }

    private Change startLeaving(long now) {
        leaving = true;
        leavingSince = now;
        addDeparted(new Departed(current.id(), current.startEpochMilliseconds()));
        return Change.LEAVING;
    }

    private void addDeparted(Departed incarnation) {
        departed.addLast(incarnation);
        if (departed.size() > REMEMBERED_INCARNATIONS) {
            departed.removeFirst();
        }
    }

    private void addUnknownDeparture(UpstreamId id) {
        if (departedWithoutStart.size() < REMEMBERED_INCARNATIONS) {
            departedWithoutStart.add(id);
        }
    }

    /**
     * Learns the start time of an incarnation that left without telling it. An announcement that is
     * not among the first ones is a late one of that incarnation; the first ones are of a new one.
     */
    private void learnDeparture(UpstreamAnnouncement announcement) {
        if (departedWithoutStart.remove(announcement.id())
                && announcement.sequence() > MAX_FIRST_SEQUENCE) {
            addDeparted(new Departed(announcement.id(), announcement.startEpochMilliseconds()));
        }
    }

    private boolean hasLeft(UpstreamAnnouncement announcement) {
        return departed.stream().anyMatch(former -> former.isSameIncarnation(announcement))
                && (current == null || !announcement.isSameIncarnation(current));
    }

    /** Called when the upstream's address does not answer, or another upstream answers there. */
    public void markDown() {
        down = true;
    }

    /** Called when the upstream was reached. */
    public void markUp() {
        down = false;
    }

    /** Whether the upstream was unreachable when it was last used. */
    public boolean isDown() {
        return down;
    }

    /** Whether the upstream has announced that it is leaving. */
    public boolean isLeaving() {
        return leaving;
    }

    /** The current incarnation, or empty before the first announcement. */
    public Optional<UpstreamAnnouncement> current() {
        return Optional.ofNullable(current);
    }

    /** Whether new calls are accepted for the upstream. */
    public boolean acceptsCalls() {
        return current != null && !leaving && !down && !awaitingHistory;
    }

    /** Whether a call that was accepted earlier may still be dispatched to the upstream. */
    public boolean mayDispatch(long now) {
        boolean inTime = now < leavingSince + drainMilliseconds - DRAIN_MARGIN_MILLISECONDS;
        return current != null && (!leaving || inTime);
    }
}
