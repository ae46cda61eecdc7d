package org.damaskmoor.core.upstream;

import java.util.ArrayDeque;
import java.util.Deque;
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
 * <p>The clock that gives start times may be set back between two incarnations. An incarnation with
 * an earlier start time is therefore believed as well, if it can't be a former one, or once it has
 * announced itself twice while the current one was silent.
 *
 * <p>Invariants: an older announcement of an incarnation never replaces a newer one; an incarnation
 * that has announced that it leaves never accepts new calls again. Times are in milliseconds of one
 * monotonic clock. Not thread-safe.
 */
public final class UpstreamTracker {
    /** Number of earlier incarnations of each kind that are remembered. */
    private static final int REMEMBERED_INCARNATIONS = 16;

    /** Sequence numbers up to which an announcement is one of the first of its incarnation. */
    private static final long MAX_FIRST_SEQUENCE = 3;

    /**
     * Dispatch stops this long before the end of the drain time, so that calls in transit arrive in
     * time.
     */
    private static final long DRAIN_MARGIN_MILLISECONDS = 400;

    private final long drainMilliseconds;
    private final Deque<IncarnationKey> departed = new ArrayDeque<>();
    private final Deque<IncarnationKey> replaced = new ArrayDeque<>();
    private final Set<UpstreamId> departedWithoutStart = new HashSet<>();
    private UpstreamAnnouncement current;
    private UpstreamAnnouncement unconfirmed;
    private boolean leaving;
    private long leavingSince;
    private boolean down;
    private boolean awaitingHistory;

    /** What tells an incarnation from all others. */
    private record IncarnationKey(UpstreamId id, long startEpochMilliseconds) {
        static IncarnationKey of(UpstreamAnnouncement announcement) {
            return new IncarnationKey(announcement.id(), announcement.startEpochMilliseconds());
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
        LEAVING,
        /** No change: the message may be a late one of an earlier incarnation. */
        UNCONFIRMED
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
        IncarnationKey restored = new IncarnationKey(id, startedAt);
        remember(departed, restored);
        if (current != null && restored.equals(IncarnationKey.of(current)) && !leaving) {
            leaving = true;
            leavingSince = now - drainMilliseconds;
        }
    }

    /**
     * Processes an announcement of the upstream. It has taken effect when this returns, unless the
     * result is {@link Change#UNCONFIRMED}.
     */
    public Change onAnnouncement(UpstreamAnnouncement announcement, long now) {
        learnDeparture(announcement);
        if (current != null && announcement.isSameIncarnation(current)) {
            return onFurtherAnnouncement(announcement, now);
        }
        if (departed.contains(IncarnationKey.of(announcement))) {
            return Change.NONE;
        }
        if (current != null && !replacesCurrent(announcement)) {
            return Change.UNCONFIRMED;
        }
        replaceCurrent(announcement);
        return announcement.draining() ? startLeaving(now) : Change.APPEARED;
    }

    /** An overtaken announcement of an incarnation that drains still says that it does. */
    private Change onFurtherAnnouncement(UpstreamAnnouncement announcement, long now) {
        boolean isNewer = announcement.sequence() > current.sequence();
        boolean wasDown = down;
        if (isNewer) {
            current = announcement;
            unconfirmed = null;
            down = false;
        }
        if (announcement.draining() && !leaving) {
            return startLeaving(now);
        }
        return isNewer && wasDown && !leaving ? Change.APPEARED : Change.NONE;
    }

    /** Whether the announcement of another incarnation shows that the current one has ended. */
    private boolean replacesCurrent(UpstreamAnnouncement announcement) {
        boolean isKnown = replaced.contains(IncarnationKey.of(announcement));
        if (!isKnown && startedAfterCurrent(announcement)) {
            return true;
        }
        boolean isFirst = !isKnown && announcement.sequence() <= MAX_FIRST_SEQUENCE;
        if (isFirst && !leaving && (down || announcement.id().equals(current.id()))) {
            return true;
        }
        boolean isAnnouncedAgain =
                unconfirmed != null && announcement.isSameIncarnation(unconfirmed);
        if (isAnnouncedAgain) {
            return announcement.sequence() > unconfirmed.sequence();
        }
        unconfirmed = announcement;
        return false;
    }

    private boolean startedAfterCurrent(UpstreamAnnouncement announcement) {
        return announcement.startEpochMilliseconds() > current.startEpochMilliseconds();
    }

    private void replaceCurrent(UpstreamAnnouncement announcement) {
        if (current != null) {
            remember(replaced, IncarnationKey.of(current));
        }
        current = announcement;
        unconfirmed = null;
        leaving = false;
        down = false;
    }

    /**
     * Processes a message that the upstream is leaving. An incarnation that has not announced
     * itself yet, for example because this node was restarted, is remembered as well. The message
     * has taken effect when this returns, unless the result is {@link Change#UNCONFIRMED}: then it
     * may be of the upstream that gets the calls under the same id, if its clock was set back.
     *
     * @param startedAt start time of the leaving incarnation, if known
     */
    public Change onLeave(UpstreamId id, OptionalLong startedAt, long now) {
        boolean isCurrent =
                current != null
                        && current.id().equals(id)
                        && (startedAt.isEmpty()
                                || startedAt.getAsLong() == current.startEpochMilliseconds());
        if (isCurrent) {
            return leaving ? Change.NONE : startLeaving(now);
        }
        if (startedAt.isEmpty()) {
            addUnknownDeparture(id);
            return Change.NONE;
        }
        IncarnationKey incarnation = new IncarnationKey(id, startedAt.getAsLong());
        boolean mayGetCalls = current != null && current.id().equals(id);
        if (mayGetCalls && !replaced.contains(incarnation)) {
            return Change.UNCONFIRMED;
        }
        remember(departed, incarnation);
        return Change.NONE;
    }

    private Change startLeaving(long now) {
        leaving = true;
        leavingSince = now;
        remember(departed, IncarnationKey.of(current));
        return Change.LEAVING;
    }

    private static void remember(Deque<IncarnationKey> incarnations, IncarnationKey incarnation) {
        incarnations.addLast(incarnation);
        if (incarnations.size() > REMEMBERED_INCARNATIONS) {
            incarnations.removeFirst();
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
            remember(departed, IncarnationKey.of(announcement));
        }
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
