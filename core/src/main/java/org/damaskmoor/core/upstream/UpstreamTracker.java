package org.damaskmoor.core.upstream;

import java.util.ArrayDeque;
import java.util.Optional;
import java.util.OptionalLong;

/**
 * What is known of the upstream on this VM: which incarnation is the present one, whether it
 * leaves, and whether it answers. Answers announcements that come late, twice, or from a former
 * incarnation.
 *
 * <p>Invariants: an older announcement never replaces a newer one; a incarnation that has said that
 * it leaves never takes new calls again. Times are in milliseconds of one monotonic clock. Not
 * thread-safe.
 */
public final class UpstreamTracker {
    /** Former incarnations whose late announcements are recognised. */
    private static final int REMEMBERED_INCARNATIONS = 16;

    /** Before the end of the drain time, so that a call on its way arrives within it. */
    private static final long DRAIN_MARGIN_MILLISECONDS = 400;

    private final long drainMilliseconds;
    private final ArrayDeque<UpstreamAnnouncement> left = new ArrayDeque<>();
    private UpstreamAnnouncement current;
    private boolean leaving;
    private long leavingSince;
    private boolean down;

    /**
     * Creates a register without an upstream.
     *
     * @param drainMilliseconds how long after its word a leaving upstream may get calls
     */
    public UpstreamTracker(long drainMilliseconds) {
        this.drainMilliseconds = drainMilliseconds;
    }

    /** What an announcement changed. */
    public enum Change {
        /** Nothing. */
        NONE,
        /** A incarnation that was not known is here, or a known one answers again. */
        APPEARED,
        /** The upstream leaves. */
        LEAVING
    }

    /** The upstream announced itself. */
    public Change onAnnouncement(UpstreamAnnouncement news, long now) {
        if (hasLeft(news) || (current != null && !news.isNewerThan(current))) {
            return Change.NONE;
        }
        boolean sameIncarnation = current != null && news.isSameIncarnation(current);
        boolean wasDown = down;
        current = news;
        if (!sameIncarnation) {
            leaving = false;
        }
        down = false;
        if (news.draining() && !leaving) {
            return leave(now);
        }
        return !sameIncarnation || (wasDown && !leaving) ? Change.APPEARED : Change.NONE;
    }

    /**
     * The upstream said that it goes.
     *
     * @param born start of the incarnation that goes, when it was told
     */
    public Change onLeave(UpstreamId id, OptionalLong born, long now) {
        boolean present =
                current != null
                        && current.id().equals(id)
                        && (born.isEmpty() || born.getAsLong() == current.bornEpochMilliseconds());
        if (!present || leaving) {
            return Change.NONE;
        }
        return leave(now);
    }

    private Change leave(long now) {
        leaving = true;
        leavingSince = now;
        left.addLast(current);
        if (left.size() > REMEMBERED_INCARNATIONS) {
            left.removeFirst();
        }
        return Change.LEAVING;
    }

    private boolean hasLeft(UpstreamAnnouncement news) {
        return left.stream().anyMatch(news::isSameIncarnation)
                && (current == null || !news.isSameIncarnation(current));
    }

    /** Its address does not answer, or another upstream answers there. */
    public void markDown() {
        down = true;
    }

    /** It was reached. */
    public void markUp() {
        down = false;
    }

    /** Whether its address did not answer when it was last used. */
    public boolean isDown() {
        return down;
    }

    /** Whether it has said that it leaves. */
    public boolean isLeaving() {
        return leaving;
    }

    /** The present incarnation, or empty before the first announcement. */
    public Optional<UpstreamAnnouncement> current() {
        return Optional.ofNullable(current);
    }

    /** Whether new calls are taken for it. */
    public boolean acceptsCalls() {
        return current != null && !leaving && !down;
    }

    /** Whether a call that was taken earlier may still be handed over. */
    public boolean mayDispatch(long now) {
        boolean inTime = now < leavingSince + drainMilliseconds - DRAIN_MARGIN_MILLISECONDS;
        return current != null && (!leaving || inTime);
    }
}
