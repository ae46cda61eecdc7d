package org.damaskmoor.core.upstream;

import static com.google.common.truth.Truth.assertThat;

import java.util.OptionalLong;
import org.damaskmoor.core.id.ServiceName;
import org.damaskmoor.core.upstream.UpstreamTracker.Change;
import org.junit.jupiter.api.Test;

class UpstreamTrackerTest {
    private final UpstreamTracker tracker = new UpstreamTracker(2500);

    @Test
    void should_accept_calls_once_the_upstream_announced_itself() {
        // given
        assertThat(tracker.acceptsCalls()).isFalse();

        // when
        Change change = tracker.onAnnouncement(announcement("i-1", 100, 1, false), 0);

        // then
        assertThat(change).isEqualTo(Change.APPEARED);
        assertThat(tracker.acceptsCalls()).isTrue();
    }

    @Test
    void should_ignore_a_late_announcement_when_the_deregistration_came_first() {
        // given
        tracker.onLeave(new UpstreamId("i-1"), OptionalLong.of(100), 0);

        // when
        Change late = tracker.onAnnouncement(announcement("i-1", 100, 9, false), 10);

        // then
        assertThat(late).isEqualTo(Change.NONE);
        assertThat(tracker.acceptsCalls()).isFalse();
    }

    @Test
    void should_ignore_late_announcements_when_the_deregistration_came_first_without_start_time() {
        // given
        tracker.onLeave(new UpstreamId("i-1"), OptionalLong.empty(), 0);

        // when
        tracker.onAnnouncement(announcement("i-1", 100, 24, false), 10);
        tracker.onAnnouncement(announcement("i-1", 100, 25, false), 20);

        // then
        assertThat(tracker.acceptsCalls()).isFalse();
    }

    @Test
    void should_accept_a_new_incarnation_when_the_former_one_deregistered_without_start_time() {
        // given
        tracker.onLeave(new UpstreamId("i-1"), OptionalLong.empty(), 0);

        // when
        tracker.onAnnouncement(announcement("i-1", 500, 1, false), 10);

        // then
        assertThat(tracker.acceptsCalls()).isTrue();
    }

    @Test
    void should_ignore_a_late_announcement_of_an_incarnation_that_left_before_the_restart() {
        // given
        tracker.restoreDeparture(new UpstreamId("i-1"), 100, 0);

        // when
        Change late = tracker.onAnnouncement(announcement("i-1", 100, 9, false), 10);

        // then
        assertThat(late).isEqualTo(Change.NONE);
        assertThat(tracker.acceptsCalls()).isFalse();
    }

    @Test
    void should_accept_no_calls_when_the_announced_incarnation_turns_out_to_have_left() {
        // given
        tracker.awaitHistory();
        tracker.onAnnouncement(announcement("i-1", 100, 9, false), 10);
        assertThat(tracker.acceptsCalls()).isFalse();

        // when
        tracker.restoreDeparture(new UpstreamId("i-1"), 100, 20);
        tracker.onHistoryKnown();

        // then
        assertThat(tracker.acceptsCalls()).isFalse();
        assertThat(tracker.mayDispatch(20)).isFalse();
    }

    @Test
    void should_accept_calls_when_a_later_incarnation_announces_itself_after_the_restart() {
        // given
        tracker.awaitHistory();
        tracker.restoreDeparture(new UpstreamId("i-1"), 100, 0);
        tracker.onAnnouncement(announcement("i-1", 200, 1, false), 10);

        // when
        tracker.onHistoryKnown();

        // then
        assertThat(tracker.acceptsCalls()).isTrue();
    }

    @Test
    void should_ignore_a_late_announcement_of_an_earlier_incarnation() {
        // given
        tracker.onAnnouncement(announcement("i-2", 200, 1, false), 0);

        // when
        Change change = tracker.onAnnouncement(announcement("i-1", 100, 9, false), 10);

        // then
        assertThat(change).isEqualTo(Change.NONE);
        assertThat(tracker.current().get().id()).isEqualTo(new UpstreamId("i-2"));
    }

    @Test
    void should_treat_a_restart_with_the_same_id_as_a_new_incarnation() {
        // given
        tracker.onAnnouncement(announcement("i-1", 100, 40, true), 0);

        // when
        tracker.onAnnouncement(announcement("i-1", 300, 1, false), 1000);

        // then
        assertThat(tracker.acceptsCalls()).isTrue();
    }

    @Test
    void should_not_accept_calls_for_an_incarnation_that_announced_leaving() {
        // given
        tracker.onAnnouncement(announcement("i-1", 100, 1, false), 0);
        tracker.onAnnouncement(announcement("i-1", 100, 2, true), 10);

        // when
        tracker.onAnnouncement(announcement("i-1", 100, 3, false), 20);

        // then
        assertThat(tracker.acceptsCalls()).isFalse();
        assertThat(tracker.isLeaving()).isTrue();
    }

    @Test
    void should_not_dispatch_near_the_end_of_the_drain_time() {
        // given
        tracker.onAnnouncement(announcement("i-1", 100, 1, false), 0);

        // when
        Change change = tracker.onLeave(new UpstreamId("i-1"), OptionalLong.empty(), 1000);

        // then
        assertThat(change).isEqualTo(Change.LEAVING);
        assertThat(tracker.mayDispatch(2000)).isTrue();
        assertThat(tracker.mayDispatch(3200)).isFalse();
    }

    @Test
    void should_ignore_a_leave_message_of_another_incarnation() {
        // given
        tracker.onAnnouncement(announcement("i-1", 300, 1, false), 0);

        // when
        tracker.onLeave(new UpstreamId("i-1"), OptionalLong.of(100), 10);
        tracker.onLeave(new UpstreamId("i-0"), OptionalLong.empty(), 10);

        // then
        assertThat(tracker.acceptsCalls()).isTrue();
    }

    @Test
    void should_accept_calls_again_when_an_unreachable_upstream_announces_itself() {
        // given
        tracker.onAnnouncement(announcement("i-1", 100, 1, false), 0);
        tracker.markDown();

        // when
        Change change = tracker.onAnnouncement(announcement("i-1", 100, 2, false), 10);

        // then
        assertThat(change).isEqualTo(Change.APPEARED);
        assertThat(tracker.acceptsCalls()).isTrue();
    }

    private static UpstreamAnnouncement announcement(
            String id, long startedAt, long sequence, boolean draining) {
        return new UpstreamAnnouncement(
                new UpstreamId(id), new ServiceName("books"), startedAt, sequence, 9, draining, 0);
    }
}
