package org.damaskmoor.relay.internal.entry;

import static com.google.common.truth.Truth.assertThat;

import com.google.protobuf.ByteString;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.damaskmoor.core.id.DataCentreName;
import org.damaskmoor.core.id.Incarnation;
import org.damaskmoor.core.id.NodeId;
import org.damaskmoor.core.id.RegionName;
import org.damaskmoor.core.id.RequestId;
import org.damaskmoor.core.id.ServiceName;
import org.damaskmoor.core.routetable.Route;
import org.damaskmoor.core.routetable.WeightedService;
import org.damaskmoor.relay.fixture.IdleLink;
import org.damaskmoor.relay.fixture.ManualTimers;
import org.damaskmoor.relay.fixture.SilentLog;
import org.damaskmoor.relay.internal.caller.CallerRequest;
import org.damaskmoor.relay.internal.fleet.FleetDirectory;
import org.damaskmoor.relay.internal.fleet.FleetTarget;
import org.damaskmoor.relay.internal.fleet.LeavingUpstreams;
import org.damaskmoor.schema.link.FleetMember;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Which targets a call may be placed at, and to which links are opened meanwhile. */
class CandidateSelectionTest {
    private static final ServiceName BOOKS = new ServiceName("books");

    private final List<NodeId> opened = new ArrayList<>();
    private FleetDirectory fleet;

    @BeforeEach
    void start() {
        SilentLog log = new SilentLog();
        fleet =
                new FleetDirectory(
                        new NodeId("self"),
                        new RegionName("home"),
                        new DataCentreName("home-1"),
                        (node, address) -> new ClosedLink(node),
                        new ManualTimers(),
                        log,
                        new LeavingUpstreams(log));
        fleet.merge(List.of(member("one", 1, "home-1"), member("two", 2, "home-2")));
    }

    /**
     * Guards against a target that is avoided for ever: it was evacuated when its link was lost,
     * and only a report over the link tells that it accepts calls again.
     */
    @Test
    void should_open_the_closed_link_to_a_target_that_accepted_no_calls_when_last_heard() {
        // given
        target("two").markNotAccepting();

        // when
        List<FleetTarget> selected = select();

        // then
        assertThat(selected).containsExactly(target("one"));
        assertThat(opened).containsExactly(new NodeId("two"));
    }

    /** Guards against connections that are opened for targets that can't be selected anyway. */
    @Test
    void should_not_open_the_link_to_a_target_in_an_evacuated_data_centre() {
        // given
        target("two").markNotAccepting();
        fleet.setEvacuated(Set.of(new DataCentreName("home-2")));

        // when
        List<FleetTarget> selected = select();

        // then
        assertThat(selected).containsExactly(target("one"));
        assertThat(opened).isEmpty();
    }

    private List<FleetTarget> select() {
        return CandidateSelection.select(fleet, request(), Set.of(), 1);
    }

    private FleetTarget target(String node) {
        return fleet.find(new NodeId(node)).get();
    }

    private static AdmittedRequest request() {
        Route route =
                new Route(
                        "read",
                        "shop.example",
                        "/read/",
                        true,
                        2000,
                        800,
                        1,
                        List.of(new WeightedService(BOOKS, 1)),
                        2,
                        true,
                        Set.of());
        return new AdmittedRequest(
                new RequestId(new NodeId("self"), new Incarnation(1), 1),
                new CallerRequest(
                        "r",
                        "GET",
                        "shop.example",
                        "/read/1",
                        List.of(),
                        ByteString.EMPTY,
                        1000,
                        1),
                route,
                BOOKS,
                Optional.empty(),
                () -> {});
    }

    private static FleetMember member(String node, int number, String dataCentre) {
        return FleetMember.newBuilder()
                .setNodeId(node)
                .setService(BOOKS.value())
                .setAddress("127.0.0." + number + ":1")
                .setRegion("home")
                .setDataCentre(dataCentre)
                .setSlots(9)
                .build();
    }

    /** A link whose connection was lost, which records that it is opened. */
    private final class ClosedLink extends IdleLink {
        private final NodeId target;

        ClosedLink(NodeId target) {
            this.target = target;
        }

        @Override
        public boolean isUp() {
            return false;
        }

        @Override
        public boolean isFailing() {
            return target.value().equals("two");
        }

        @Override
        public void open() {
            opened.add(target);
        }
    }
}
