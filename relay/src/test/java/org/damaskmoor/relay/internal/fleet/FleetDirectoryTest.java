package org.damaskmoor.relay.internal.fleet;

import static com.google.common.truth.Truth.assertThat;

import com.google.protobuf.ByteString;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.damaskmoor.core.id.DataCentreName;
import org.damaskmoor.core.id.NodeId;
import org.damaskmoor.core.id.RegionName;
import org.damaskmoor.core.id.ServiceName;
import org.damaskmoor.platform.protocol.StoredRow;
import org.damaskmoor.relay.fixture.IdleLink;
import org.damaskmoor.relay.fixture.ManualTimers;
import org.damaskmoor.relay.fixture.SilentLog;
import org.damaskmoor.schema.link.FleetMember;
import org.damaskmoor.schema.link.LinkHello;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/**
 * What becomes of the link to a node by each way in which it ceases to be a member, or changes.
 * Guards against answers that are lost with a link that was closed under them.
 */
class FleetDirectoryTest {
    private static final NodeId NODE = new NodeId("node");
    private static final String ADDRESS = "127.0.0.2:1";
    private static final String NEW_ADDRESS = "127.0.0.3:1";

    private final List<RecordingLink> links = new ArrayList<>();
    private final ManualTimers timers = new ManualTimers();
    private FleetDirectory fleet;

    @BeforeEach
    void start() {
        SilentLog log = new SilentLog();
        fleet =
                new FleetDirectory(
                        new NodeId("self"),
                        new RegionName("home"),
                        new DataCentreName("home-1"),
                        (node, address) -> {
                            links.add(new RecordingLink());
                            return links.get(links.size() - 1);
                        },
                        timers,
                        log,
                        new LeavingUpstreams(log));
        fleet.onChange(row(member().build()));
    }

    @Test
    void should_retire_the_link_when_the_record_is_removed() {
        // when
        fleet.onChange(new StoredRow("node", ByteString.EMPTY, 2, true));

        // then
        assertNoMemberAndLinkRetired();
    }

    @Test
    void should_retire_the_link_when_a_record_says_that_the_node_has_departed() {
        // when
        fleet.merge(List.of(member().setRevision(2).setDeparted(true).build()));

        // then
        assertNoMemberAndLinkRetired();
    }

    @Test
    void should_retire_the_link_when_the_record_is_missing_in_a_snapshot() {
        // when
        fleet.onSnapshot(List.of());

        // then
        assertNoMemberAndLinkRetired();
    }

    @Test
    void should_retire_the_link_when_the_store_has_lost_the_record_of_an_unreachable_node() {
        // given
        links.get(0).up = false;

        // when
        fleet.onStoreRestored();
        fleet.onSnapshot(List.of());
        timers.advance(5000);

        // then
        assertNoMemberAndLinkRetired();
    }

    @Test
    void should_retire_the_link_and_open_another_when_the_address_changes() {
        // when
        fleet.onChange(row(member().setRevision(2).setAddress(NEW_ADDRESS).build()));

        // then
        assertThat(links).hasSize(2);
        assertThat(links.get(0).state).isEqualTo("retired");
        assertThat(linkInUse()).isSameInstanceAs(links.get(1));
    }

    @Test
    void should_keep_the_link_when_the_service_changes() {
        // when
        fleet.onChange(row(member().setRevision(2).setService("toys").build()));

        // then
        assertThat(links).hasSize(1);
        assertThat(linkInUse().state).isEqualTo("reinstated");
        assertThat(fleet.targets(new ServiceName("books"))).isEmpty();
        assertThat(fleet.targets(new ServiceName("toys"))).hasSize(1);
    }

    @Test
    void should_use_the_same_link_when_the_node_returns_while_calls_are_open() {
        // given
        fleet.onChange(new StoredRow("node", ByteString.EMPTY, 2, true));

        // when
        fleet.onChange(row(member().setRevision(3).build()));

        // then
        assertThat(links).hasSize(1);
        assertThat(linkInUse().state).isEqualTo("reinstated");
    }

    @Test
    void should_open_another_link_when_the_node_returns_after_the_last_call() {
        // given
        fleet.onChange(new StoredRow("node", ByteString.EMPTY, 2, true));
        links.get(0).onClosed.run();

        // when
        fleet.onChange(row(member().setRevision(3).build()));

        // then
        assertThat(links).hasSize(2);
        assertThat(linkInUse()).isSameInstanceAs(links.get(1));
    }

    /** Nothing that is sent over it can reach the node that was expected. */
    @Test
    void should_close_the_link_when_another_node_has_the_address() {
        // when
        fleet.onHello(NODE, LinkHello.newBuilder().setNodeId("other").build());

        // then
        assertThat(fleet.find(NODE)).isEqualTo(Optional.empty());
        assertThat(links.get(0).state).isEqualTo("closed");
    }

    private void assertNoMemberAndLinkRetired() {
        assertThat(fleet.find(NODE)).isEqualTo(Optional.empty());
        assertThat(fleet.targets(new ServiceName("books"))).isEmpty();
        assertThat(links.get(0).state).isEqualTo("retired");
    }

    private RecordingLink linkInUse() {
        return (RecordingLink) fleet.find(NODE).orElseThrow().link();
    }

    private static StoredRow row(FleetMember member) {
        return new StoredRow("node", member.toByteString(), 1, false);
    }

    private static FleetMember.Builder member() {
        return FleetMember.newBuilder()
                .setNodeId("node")
                .setService("books")
                .setAddress(ADDRESS)
                .setRegion("home")
                .setDataCentre("home-1")
                .setIncarnation(1)
                .setRevision(1)
                .setSlots(6);
    }

    /** A link on which calls are open. */
    private static final class RecordingLink extends IdleLink {
        private String state = "open";
        private boolean up = true;
        private Runnable onClosed = () -> {};

        @Override
        public boolean isUp() {
            return up;
        }

        @Override
        public boolean isFailing() {
            return !up;
        }

        @Override
        public void retire(Runnable listener) {
            state = "retired";
            onClosed = listener;
        }

        @Override
        public void reinstate() {
            state = "reinstated";
        }

        @Override
        public void close() {
            state = "closed";
        }
    }
}
