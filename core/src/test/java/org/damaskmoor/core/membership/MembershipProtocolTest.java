package org.damaskmoor.core.membership;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.damaskmoor.core.id.RegionName;
import org.damaskmoor.core.membership.FakeGroup.FakeMember;
import org.damaskmoor.core.membership.MemberEvent.Kind;
import org.damaskmoor.schema.gossip.ConfigurationVersion;
import org.damaskmoor.schema.gossip.MemberState;
import org.damaskmoor.schema.mesh.UpstreamState;
import org.junit.jupiter.api.Test;

class MembershipProtocolTest {
    private static final long SECOND = 1_000;
    private static final long HOUR = 3_600 * SECOND;
    private static final RegionName OBERLAND = new RegionName("oberland");

    private final FakeGroup group = new FakeGroup(7);

    private void givenTwoRegions() {
        group.addRegion("mittelland", 7);
        group.addRegion("oberland", 5);
        group.run(10 * SECOND);
        assertAllMembersSeeEachOther(group);
    }

    private static void assertAllMembersSeeEachOther(FakeGroup group) {
        for (FakeMember member : group.members.values()) {
            for (String id : group.members.keySet()) {
                assertWithMessage("%s of %s", id, member.record.getNodeId())
                        .that(member.stateOf(id))
                        .isEqualTo(MemberState.ALIVE);
            }
        }
    }

    @Property(tries = 12, seed = "41")
    void should_keep_all_members_alive_when_datagrams_are_lost_duplicated_and_reordered(
            @ForAll @IntRange(min = 1, max = 1_000) int seed) {
        // given
        FakeGroup lossy = new FakeGroup(seed);
        lossy.lossShare = 0.1;
        lossy.duplicateShare = 0.1;
        lossy.jitterMilliseconds = 80;

        // when
        lossy.addRegion("mittelland", 7);
        lossy.addRegion("oberland", 5);
        lossy.run(300 * SECOND);

        // then
        for (FakeMember member : lossy.members.values()) {
            assertThat(member.protocol.isJoined()).isTrue();
            assertThat(member.protocol.members()).hasSize(12);
            assertThat(member.count(Kind.DEAD)).isEqualTo(0);
            assertThat(member.count(Kind.REGION_UNREACHABLE)).isEqualTo(0);
        }
        assertThat(lossy.longestDatagram).isAtMost(1_200);
    }

    @Test
    void should_declare_a_silent_member_dead_everywhere_when_it_does_not_refute() {
        // given
        givenTwoRegions();

        // when
        group.get("oberland-2").frozen = true;
        group.run(60 * SECOND);

        // then
        for (FakeMember member : group.members.values()) {
            if (!member.frozen) {
                assertThat(member.stateOf("oberland-2")).isEqualTo(MemberState.DEAD);
                assertThat(member.count(Kind.DEAD)).isEqualTo(1);
            }
        }
    }

    @Test
    void should_readmit_a_frozen_member_when_it_refutes_its_death() {
        // given
        givenTwoRegions();
        FakeMember frozen = group.get("oberland-2");
        frozen.frozen = true;
        group.run(60 * SECOND);

        // when
        frozen.frozen = false;
        group.run(20 * SECOND);

        // then
        assertAllMembersSeeEachOther(group);
        assertThat(frozen.count(Kind.DEAD)).isEqualTo(0);
    }

    @Test
    void should_permanently_ignore_an_older_incarnation_when_the_node_restarted() {
        // given
        givenTwoRegions();
        FakeMember older = group.get("oberland-2");
        older.frozen = true;

        // when
        FakeMember newer = group.add("oberland-2", "oberland", 2);
        group.members.put("older incarnation", older);
        group.run(5 * SECOND);
        older.frozen = false;
        older.protocol.announceUpstream(UpstreamState.SERVING, 99, group.now);
        group.run(60 * SECOND);

        // then
        assertThat(older.count(Kind.SUPERSEDED)).isEqualTo(1);
        for (String id : group.members.keySet()) {
            if (!id.equals("older incarnation")) {
                long incarnation = incarnationAt(group.get(id));
                assertThat(incarnation).isEqualTo(newer.record.getIncarnation());
            }
        }
    }

    @Test
    void should_join_through_a_peer_that_pings_its_earlier_incarnation_without_join_points() {
        // given
        givenTwoRegions();
        group.members.remove("oberland-2");
        group.run(60 * SECOND);

        // when
        FakeMember fresh = group.addWithoutJoinPoints("oberland-2", "oberland", 2);
        group.run(15 * SECOND);

        // then
        assertThat(fresh.protocol.isJoined()).isTrue();
        assertAllMembersSeeEachOther(group);
    }

    private static long incarnationAt(FakeMember observer) {
        return observer.protocol.members().stream()
                .filter(record -> record.getNodeId().equals("oberland-2"))
                .findFirst()
                .orElseThrow()
                .getIncarnation();
    }

    @Test
    void should_declare_no_member_dead_and_reconnect_quickly_after_an_hour_of_partition() {
        // given
        givenTwoRegions();
        ConfigurationVersion version =
                ConfigurationVersion.newBuilder().setService("besuch").setVersion(3).build();

        // when
        group.partition = (from, to) -> !from.record.getRegion().equals(to.record.getRegion());
        group.run(30 * SECOND);

        // then
        for (FakeMember member : group.members.values()) {
            boolean mittelland = member.record.getRegion().equals("mittelland");
            assertThat(member.protocol.isUnreachable(OBERLAND)).isEqualTo(mittelland);
        }

        // when
        group.run(HOUR);
        group.get("mittelland-3").protocol.announceUpstream(UpstreamState.LEAVING, 10, group.now);
        group.run(20 * SECOND);
        group.partition = (from, to) -> false;
        group.run(20 * SECOND);
        group.get("mittelland-3").protocol.broadcast(version);
        group.run(2 * SECOND);

        // then
        assertAllMembersSeeEachOther(group);
        for (FakeMember member : group.members.values()) {
            assertThat(member.count(Kind.DEAD)).isEqualTo(0);
            assertThat(member.protocol.isUnreachable(OBERLAND)).isFalse();
            assertThat(upstreamState(member, "mittelland-3")).isEqualTo(UpstreamState.LEAVING);
        }
    }

    private static UpstreamState upstreamState(FakeMember observer, String id) {
        return observer.protocol.members().stream()
                .filter(record -> record.getNodeId().equals(id))
                .map(record -> UpstreamState.forNumber(record.getUpstreamState()))
                .findFirst()
                .orElseThrow();
    }

    @Test
    void should_merge_again_after_a_partition_within_a_region() {
        // given
        group.addRegion("mittelland", 8);
        group.run(10 * SECOND);
        group.partition = (from, to) -> isInFirstHalf(from) != isInFirstHalf(to);
        group.run(120 * SECOND);
        assertThat(group.get("mittelland-0").stateOf("mittelland-7")).isEqualTo(MemberState.DEAD);

        // when
        group.partition = (from, to) -> false;
        group.run(60 * SECOND);

        // then
        assertAllMembersSeeEachOther(group);
    }

    private static boolean isInFirstHalf(FakeMember member) {
        return member.record.getNodeId().compareTo("mittelland-4") < 0;
    }

    @Test
    void should_inform_every_member_within_two_seconds_when_an_upstream_is_leaving() {
        // given
        givenTwoRegions();

        // when
        group.get("oberland-1").protocol.announceUpstream(UpstreamState.LEAVING, 10, group.now);
        group.run(2 * SECOND);

        // then
        for (FakeMember member : group.members.values()) {
            assertThat(upstreamState(member, "oberland-1")).isEqualTo(UpstreamState.LEAVING);
        }
    }

    @Test
    void should_not_suspect_a_departed_member_when_it_stops_answering() {
        // given
        givenTwoRegions();
        FakeMember leaving = group.get("mittelland-4");

        // when
        leaving.protocol.leave(group.now);
        group.run(2 * SECOND);
        leaving.frozen = true;
        group.run(60 * SECOND);

        // then
        for (FakeMember member : group.members.values()) {
            assertThat(member.stateOf("mittelland-4")).isEqualTo(MemberState.LEFT);
            assertThat(member.count(Kind.SUSPECT)).isEqualTo(0);
        }
    }

    @Test
    void should_continue_without_errors_when_all_members_have_left() {
        // given
        group.addRegion("mittelland", 3);
        group.run(10 * SECOND);

        // when
        group.members.values().forEach(member -> member.protocol.leave(group.now));
        group.run(60 * SECOND);

        // then
        assertThat(group.get("mittelland-1").stateOf("mittelland-1")).isEqualTo(MemberState.LEFT);
    }

    @Test
    void should_send_all_members_to_a_joining_one_when_the_first_peer_is_silent() {
        // given
        givenTwoRegions();
        group.get("mittelland-0").frozen = true;

        // when
        FakeMember late = group.add("oberland-late", "oberland", 1);
        group.run(5 * SECOND);

        // then
        assertThat(late.protocol.isJoined()).isTrue();
        assertThat(late.protocol.members()).hasSize(13);
    }
}
