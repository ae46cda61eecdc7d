package org.damaskmoor.relay;

import static com.google.common.truth.Truth.assertThat;

import java.net.InetAddress;
import java.net.ServerSocket;
import org.damaskmoor.platform.standin.RawCaller;
import org.damaskmoor.platform.standin.UpstreamStandIn;
import org.damaskmoor.relay.fixture.InProcessRelay;
import org.damaskmoor.relay.fixture.TestFleet;
import org.damaskmoor.schema.link.FleetMember;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Nodes that are restarted or stay away, and what the others and they themselves know then. */
class NodeRestartTest {
    private TestFleet fleet;
    private UpstreamStandIn upstream;
    private UpstreamStandIn unused;
    private InProcessRelay target;
    private InProcessRelay entry;

    @BeforeEach
    void start() throws Exception {
        fleet = new TestFleet();
        upstream = new UpstreamStandIn();
        unused = new UpstreamStandIn();
        target = fleet.relay("target", upstream);
        entry = new InProcessRelay("entry", "other", unused.address(), fleet.store.address());
        TestFleet.await(entry::isReady);
        TestFleet.await(() -> entry.log().contains("event=member-added node=target"));
    }

    @AfterEach
    void stop() throws Exception {
        entry.close();
        target.close();
        upstream.close();
        unused.close();
        fleet.close();
    }

    @Test
    void should_not_hold_requests_for_a_node_that_does_not_answer() throws Exception {
        // given
        try (ServerSocket silent = new ServerSocket(0, 50, InetAddress.getLoopbackAddress())) {
            FleetMember member =
                    FleetMember.newBuilder()
                            .setNodeId("silent")
                            .setService("books")
                            .setAddress("127.0.0.1:" + silent.getLocalPort())
                            .setDataCentre("home-1")
                            .setRegion("home")
                            .setSlots(9)
                            .build();
            fleet.store.putRow("members", "silent", member.toByteArray());
            TestFleet.await(() -> entry.log().contains("event=member-added node=silent"));
            int requests = 60;
            int held = 0;

            // when
            for (int i = 0; i < requests; i++) {
                long started = System.nanoTime();
                try (RawCaller caller = entry.caller()) {
                    RawCaller.Answer answer = caller.exchange(RawCaller.get("/read/1", "r" + i));
                    assertThat(answer.status()).isEqualTo(200);
                }
                boolean slow = System.nanoTime() - started > 500_000_000L;
                held += slow ? 1 : 0;
                Thread.sleep(50);
            }

            // then
            assertThat(held).isAtMost(1);
        }
    }

    @Test
    void should_not_use_an_upstream_that_left_before_the_restart_of_its_node() throws Exception {
        // given
        TestFleet.await(() -> fleet.store.containsRow("members", "target"));
        assertThat(target.post("/v1/Instances.Deregister/i-1", "{\"born\":100}")).isEqualTo(200);
        TestFleet.await(() -> target.log().contains("event=departure-written"));
        target.kill();

        // when
        try (InProcessRelay restarted =
                new InProcessRelay("target", "books", upstream.address(), fleet.store.address())) {
            TestFleet.await(restarted::isReady);
            assertThat(restarted.announce("i-1", 100, 9, "ready")).isEqualTo(200);
            Thread.sleep(300);

            // then
            try (RawCaller caller = restarted.caller()) {
                assertThat(caller.exchange(RawCaller.get("/read/1", "r1")).status()).isEqualTo(503);
            }
            assertThat(upstream.runCount("r1")).isEqualTo(0);

            // when
            restarted.announce("i-2", 200, 1, "ready");

            // then
            try (RawCaller caller = restarted.caller()) {
                assertThat(caller.exchange(RawCaller.get("/read/1", "r2")).status()).isEqualTo(200);
            }
        }
    }
}
