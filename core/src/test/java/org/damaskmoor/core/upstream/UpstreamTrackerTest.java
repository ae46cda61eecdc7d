package org.damaskmoor.core.upstream;

import static com.google.common.truth.Truth.assertThat;

import java.util.OptionalLong;
import org.damaskmoor.core.id.ServiceName;
import org.damaskmoor.core.upstream.UpstreamTracker.Change;
import org.junit.jupiter.api.Test;

class UpstreamTrackerTest {
    private final UpstreamTracker register = new UpstreamTracker(2500);

    @Test
    void should_take_calls_once_the_upstream_announced_itself() {
        // given
        assertThat(register.acceptsCalls()).isFalse();

        // when
        Change change = register.onAnnouncement(announcement("i-1", 100, 1, false), 0);

        // then
        assertThat(change).isEqualTo(Change.APPEARED);
        assertThat(register.acceptsCalls()).isTrue();
    }

    @Test
    void should_ignore_a_late_announcement_of_a_former_incarnation() {
        // given
        register.onAnnouncement(announcement("i-2", 200, 1, false), 0);

        // when
        Change change = register.onAnnouncement(announcement("i-1", 100, 9, false), 10);

        // then
        assertThat(change).isEqualTo(Change.NONE);
        assertThat(register.current().get().id()).isEqualTo(new UpstreamId("i-2"));
    }

    @Test
    void should_take_a_restart_under_the_same_id_for_a_new_incarnation() {
        // given
        register.onAnnouncement(announcement("i-1", 100, 40, true), 0);

        // when
        register.onAnnouncement(announcement("i-1", 300, 1, false), 1000);

        // then
        assertThat(register.acceptsCalls()).isTrue();
    }

    @Test
    void should_not_return_to_a_incarnation_that_has_said_that_it_leaves() {
        // given
        register.onAnnouncement(announcement("i-1", 100, 1, false), 0);
        register.onAnnouncement(announcement("i-1", 100, 2, true), 10);

        // when
        register.onAnnouncement(announcement("i-1", 100, 3, false), 20);

        // then
        assertThat(register.acceptsCalls()).isFalse();
        assertThat(register.isLeaving()).isTrue();
    }

    @Test
    void should_hand_nothing_over_near_the_end_of_the_drain_time() {
        // given
        register.onAnnouncement(announcement("i-1", 100, 1, false), 0);

        // when
        Change change = register.onLeave(new UpstreamId("i-1"), OptionalLong.empty(), 1000);

        // then
        assertThat(change).isEqualTo(Change.LEAVING);
        assertThat(register.mayDispatch(2000)).isTrue();
        assertThat(register.mayDispatch(3200)).isFalse();
    }

    @Test
    void should_ignore_the_leaving_of_another_incarnation() {
        // given
        register.onAnnouncement(announcement("i-1", 300, 1, false), 0);

        // when
        register.onLeave(new UpstreamId("i-1"), OptionalLong.of(100), 10);
        register.onLeave(new UpstreamId("i-0"), OptionalLong.empty(), 10);

        // then
        assertThat(register.acceptsCalls()).isTrue();
    }

    @Test
    void should_take_calls_again_when_an_upstream_that_was_down_announces_itself() {
        // given
        register.onAnnouncement(announcement("i-1", 100, 1, false), 0);
        register.markDown();

        // when
        Change change = register.onAnnouncement(announcement("i-1", 100, 2, false), 10);

        // then
        assertThat(change).isEqualTo(Change.APPEARED);
        assertThat(register.acceptsCalls()).isTrue();
    }

    private static UpstreamAnnouncement announcement(
            String id, long born, long sequence, boolean draining) {
        return new UpstreamAnnouncement(
                new UpstreamId(id), new ServiceName("books"), born, sequence, 9, draining, 0);
    }
}
