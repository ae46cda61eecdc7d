package org.damaskmoor.relay;

import static com.google.common.truth.Truth.assertThat;

import java.net.InetSocketAddress;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.damaskmoor.platform.standin.ConfigurationJson;
import org.damaskmoor.platform.standin.RawCaller;
import org.damaskmoor.platform.standin.StoreStandIn;
import org.damaskmoor.platform.standin.UpstreamStandIn;
import org.damaskmoor.relay.fixture.InProcessRelay;
import org.damaskmoor.relay.fixture.TestFleet;
import org.damaskmoor.relay.internal.net.LoopbackAddresses;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Relays that share one store, while the store, a node or an upstream fails. */
class RelayFailureTest {
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
    void should_forward_a_request_to_the_node_beside_its_upstream() throws Exception {
        // when
        RawCaller.Answer answer = sendRequest(RawCaller.post("/order/1", "r1", "body"));

        // then
        assertThat(answer.body()).isEqualTo("answer to r1");
        assertThat(upstream.requests().get(0).headers().get("caller-service")).isEqualTo("other");
    }

    @Test
    void should_apply_newer_configurations_only() throws Exception {
        // given
        String more = "," + ConfigurationJson.route("more", "/more/", "idempotent");
        assertThat(sendRequest(RawCaller.get("/more/1", "r1")).status()).isEqualTo(404);

        // when
        fleet.store.putConfiguration(ConfigurationJson.of(7, more));
        TestFleet.await(() -> sendRequest(RawCaller.get("/more/1", "r2")).status() == 200);
        fleet.store.putConfiguration(ConfigurationJson.of(3, ""));
        TestFleet.await(() -> entry.log().contains("event=configuration-older"));

        // then
        assertThat(sendRequest(RawCaller.get("/more/1", "r3")).status()).isEqualTo(200);
    }

    @Test
    void should_keep_the_configuration_when_a_newer_one_is_invalid() throws Exception {
        // when
        fleet.store.putConfiguration(ConfigurationJson.of(9, ",{\"name\":\"broken\"}"));
        TestFleet.await(() -> entry.log().contains("event=configuration-rejected"));

        // then
        assertThat(sendRequest(RawCaller.get("/read/1", "r1")).status()).isEqualTo(200);
    }

    @Test
    void should_apply_configurations_after_the_store_dropped_its_history() throws Exception {
        // given
        fleet.store.compact();

        // when
        String more = "," + ConfigurationJson.route("more", "/more/", "idempotent");
        fleet.store.putConfiguration(ConfigurationJson.of(7, more));

        // then
        TestFleet.await(() -> sendRequest(RawCaller.get("/more/1", "r2")).status() == 200);
    }

    @Test
    void should_get_members_and_configuration_from_a_seed_when_the_store_is_unavailable()
            throws Exception {
        // given a node whose store is unavailable from the start
        try (StoreStandIn unavailableStore = new StoreStandIn()) {
            unavailableStore.setMode(StoreStandIn.Mode.UNAVAILABLE);
            InetSocketAddress links = new InetSocketAddress("127.0.0.3", target.links().getPort());
            List<String> seeds = List.of(target.links().getHostString() + ":1");

            // when
            try (InProcessRelay alone =
                    new InProcessRelay(
                            "alone",
                            "other",
                            unused.address(),
                            unavailableStore.address(),
                            links,
                            seeds)) {
                TestFleet.await(alone::isReady);
                TestFleet.await(() -> alone.log().contains("event=member-added node=target"));

                // then
                try (RawCaller caller = alone.caller()) {
                    RawCaller.Answer answer = caller.exchange(RawCaller.get("/read/1", "r1"));
                    assertThat(answer.status()).isEqualTo(200);
                }
            }
        }
    }

    @Test
    void should_log_that_the_store_answers_again() throws Exception {
        // given
        fleet.store.setMode(StoreStandIn.Mode.UNAVAILABLE);
        TestFleet.await(() -> entry.log().contains("event=store-lost"));

        // when
        fleet.store.setMode(StoreStandIn.Mode.NORMAL);

        // then
        TestFleet.await(() -> entry.log().contains("event=store-regained"));
    }

    @Test
    void should_keep_serving_while_the_store_is_unavailable() throws Exception {
        // given
        sendRequest(RawCaller.get("/read/1", "r0"));

        // when
        fleet.store.setMode(StoreStandIn.Mode.UNAVAILABLE);
        TestFleet.await(() -> entry.log().contains("event=store-lost"));

        // then
        assertThat(sendRequest(RawCaller.get("/read/1", "r1")).status()).isEqualTo(200);
        assertThat(entry.isReady()).isTrue();
    }

    @Test
    void should_send_no_call_to_a_draining_upstream() throws Exception {
        // given
        sendRequest(RawCaller.get("/read/1", "r0"));

        // when
        assertThat(target.announce("i-1", 100, 2, "draining")).isEqualTo(200);
        RawCaller.Answer answer = sendRequest(RawCaller.get("/read/1", "r1"));

        // then
        assertThat(answer.status()).isEqualTo(503);
        assertThat(upstream.runCount("r1")).isEqualTo(0);
    }

    @Test
    void should_send_no_call_to_a_node_that_reuses_an_address() throws Exception {
        // given
        sendRequest(RawCaller.get("/read/1", "r0"));
        target.kill();

        // when a node with another service takes its address
        try (UpstreamStandIn newUpstream = new UpstreamStandIn();
                InProcessRelay successor =
                        new InProcessRelay(
                                "successor",
                                "other",
                                newUpstream.address(),
                                fleet.store.address(),
                                target.links(),
                                List.of())) {
            successor.announce("i-9", 900, 1, "ready");
            TestFleet.await(() -> entry.log().contains("event=member-added node=successor"));
            RawCaller.Answer answer = sendRequest(RawCaller.get("/read/1", "r1"));

            // then
            assertThat(answer.status()).isEqualTo(503);
            assertThat(newUpstream.requests()).isEmpty();
        }
    }

    @Test
    void should_keep_open_calls_when_a_stale_record_has_the_same_address() throws Exception {
        // given a call that is open at the target
        sendRequest(RawCaller.get("/read/1", "r0"));
        upstream.setScript(
                (request, connection) -> {
                    Thread.sleep(600);
                    UpstreamStandIn.answerOk(request, connection);
                });
        CompletableFuture<RawCaller.Answer> slow =
                CompletableFuture.supplyAsync(
                        () -> sendRequestUnchecked(RawCaller.get("/read/1", "r1")));
        TestFleet.await(() -> upstream.runCount("r1") == 1);

        // when the stale record of another node has the same address, and that node is called
        try (InProcessRelay formerOwner =
                new InProcessRelay(
                        "ghost",
                        "books",
                        upstream.address(),
                        fleet.store.address(),
                        LoopbackAddresses.next(),
                        target.links(),
                        List.of())) {
            formerOwner.announce("i-1", 100, 1, "ready");
            TestFleet.await(() -> entry.log().contains("event=member-added node=ghost"));
        }
        TestFleet.await(
                () -> {
                    sendRequestUnchecked(RawCaller.get("/read/1", "r2"));
                    return entry.log().contains("event=address-reused node=ghost found=target");
                });

        // then
        assertThat(slow.get().status()).isEqualTo(200);
    }

    @Test
    void should_finish_open_calls_in_a_planned_stop() throws Exception {
        // given
        upstream.setScript(
                (request, connection) -> {
                    Thread.sleep(700);
                    UpstreamStandIn.answerOk(request, connection);
                });
        CompletableFuture<RawCaller.Answer> open =
                CompletableFuture.supplyAsync(
                        () -> sendRequestUnchecked(RawCaller.post("/order/1", "r1", "body")));
        TestFleet.await(() -> upstream.runCount("r1") == 1);

        // when
        CompletableFuture<Void> stopped = target.stop();

        // then
        assertThat(target.isReady()).isFalse();
        assertThat(open.get().status()).isEqualTo(200);
        stopped.get();
    }

    @Test
    void should_answer_open_requests_at_the_end_of_a_planned_stop() throws Exception {
        // given
        upstream.setScript((request, connection) -> Thread.sleep(10_000));
        long started = System.nanoTime();
        CompletableFuture<RawCaller.Answer> open =
                CompletableFuture.supplyAsync(
                        () -> sendRequestUnchecked(RawCaller.post("/order/1", "r1", "body")));
        TestFleet.await(() -> upstream.runCount("r1") == 1);

        // when
        entry.stop().get();

        // then
        assertThat(open.get().status()).isEqualTo(504);
        assertThat((System.nanoTime() - started) / 1_000_000).isLessThan(1900L);
    }

    @Test
    void should_refuse_a_call_that_waits_when_its_target_stops() throws Exception {
        // given an upstream that runs one request at a time
        target.announce("i-1", 100, 2, "ready", 1);
        upstream.setScript((request, connection) -> Thread.sleep(10_000));
        CompletableFuture<RawCaller.Answer> running =
                CompletableFuture.supplyAsync(
                        () -> sendRequestUnchecked(RawCaller.post("/order/1", "r1", "body")));
        TestFleet.await(() -> upstream.runCount("r1") == 1);
        CompletableFuture<RawCaller.Answer> waiting =
                CompletableFuture.supplyAsync(
                        () -> sendRequestUnchecked(RawCaller.post("/order/1", "r2", "body")));
        Thread.sleep(200);

        // when
        target.stop().get();

        // then
        assertThat(waiting.get().status()).isEqualTo(503);
        assertThat(running.get().status()).isIn(List.of(502, 504));
        assertThat(upstream.runCount("r2")).isEqualTo(0);
    }

    @Test
    void should_run_once_and_report_unknown_when_the_target_dies_during_a_non_idempotent_call()
            throws Exception {
        // given
        upstream.setScript((request, connection) -> Thread.sleep(5000));
        CompletableFuture<RawCaller.Answer> open =
                CompletableFuture.supplyAsync(
                        () -> sendRequestUnchecked(RawCaller.post("/order/1", "r1", "body")));
        TestFleet.await(() -> upstream.runCount("r1") == 1);

        // when
        target.kill();

        // then
        assertThat(open.get().status()).isIn(List.of(502, 504));
        assertThat(upstream.runCount("r1")).isEqualTo(1);
    }

    @Test
    void should_retry_an_idempotent_call_when_its_target_dies() throws Exception {
        // given
        try (UpstreamStandIn second = new UpstreamStandIn();
                InProcessRelay other = fleet.relay("zother", second)) {
            TestFleet.await(() -> entry.log().contains("event=member-added node=zother"));
            upstream.setScript((request, connection) -> Thread.sleep(5000));
            second.setScript((request, connection) -> Thread.sleep(5000));
            CompletableFuture<RawCaller.Answer> open =
                    CompletableFuture.supplyAsync(
                            () -> sendRequestUnchecked(RawCaller.get("/read/1", "r1")));
            TestFleet.await(() -> upstream.runCount("r1") + second.runCount("r1") == 1);
            boolean atTarget = upstream.runCount("r1") == 1;

            // when
            upstream.setScript(UpstreamStandIn::answerOk);
            second.setScript(UpstreamStandIn::answerOk);
            (atTarget ? target : other).kill();

            // then
            assertThat(open.get().status()).isEqualTo(200);
        }
    }

    @Test
    void should_remove_its_record_when_its_upstream_has_deregistered() throws Exception {
        // given
        TestFleet.await(() -> fleet.store.containsRow("members", "target"));

        // when
        target.post("/v1/Instances.Deregister/i-1", "{\"born\":100}");
        target.stop().get();

        // then
        TestFleet.await(() -> !fleet.store.containsRow("members", "target"));
        TestFleet.await(() -> entry.log().contains("event=member-removed node=target"));
    }

    private RawCaller.Answer sendRequest(String request) throws Exception {
        try (RawCaller caller = entry.caller()) {
            return caller.exchange(request);
        }
    }

    private RawCaller.Answer sendRequestUnchecked(String request) {
        try {
            return sendRequest(request);
        } catch (Exception failure) {
            throw new IllegalStateException(failure);
        }
    }
}
