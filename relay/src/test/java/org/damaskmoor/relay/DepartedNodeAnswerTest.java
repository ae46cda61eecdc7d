package org.damaskmoor.relay;

import static com.google.common.truth.Truth.assertThat;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import org.damaskmoor.platform.standin.RawCaller;
import org.damaskmoor.platform.standin.UpstreamStandIn;
import org.damaskmoor.relay.fixture.InProcessRelay;
import org.damaskmoor.relay.fixture.TestFleet;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Answers of upstreams whose node ceases to be a member, or changes, while they work. */
class DepartedNodeAnswerTest {
    private static final int OK = 200;
    private static final int READS = 8;
    private static final long STOP_MILLISECONDS = 6000;

    private final ExecutorService callers = Executors.newCachedThreadPool();

    private final CountDownLatch workDone = new CountDownLatch(1);
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
        upstream.setScript(
                (request, connection) -> {
                    workDone.await(8, TimeUnit.SECONDS);
                    UpstreamStandIn.answerOk(request, connection);
                });
        target =
                new InProcessRelay(
                        "target",
                        "books",
                        upstream.address(),
                        fleet.store.address(),
                        STOP_MILLISECONDS);
        TestFleet.await(target::isReady);
        target.announce("i-1", 100, 1, "ready");
        entry = new InProcessRelay("entry", "other", unused.address(), fleet.store.address());
        TestFleet.await(entry::isReady);
        TestFleet.await(() -> entry.log().contains("event=member-added node=target"));
        TestFleet.await(() -> fleet.store.containsRow("members", "target"));
        TestFleet.await(() -> hearsOfChanges(entry));
    }

    @AfterEach
    void stop() throws Exception {
        workDone.countDown();
        callers.shutdownNow();
        entry.close();
        target.close();
        upstream.close();
        unused.close();
        fleet.close();
    }

    /** Guards against 502 for a booking that a leaving upstream runs while its node stops. */
    @Test
    void should_forward_the_answer_of_a_leaving_upstream_whose_node_is_no_longer_a_member()
            throws Exception {
        // given
        CompletableFuture<RawCaller.Answer> booking = startBooking();

        // when
        leaveAndStop();
        workDone.countDown();

        // then
        assertThat(booking.get().status()).isEqualTo(OK);
        assertThat(upstream.runCount("r1")).isEqualTo(1);
    }

    /** Guards against work that is thrown away and done again elsewhere. */
    @Test
    void should_run_an_idempotent_request_once_when_its_node_ceases_to_be_a_member()
            throws Exception {
        // given
        try (UpstreamStandIn second = new UpstreamStandIn();
                InProcessRelay other = fleet.relay("zother", second)) {
            TestFleet.await(() -> entry.log().contains("event=member-added node=zother"));
            List<CompletableFuture<RawCaller.Answer>> reads = new ArrayList<>();
            for (int i = 0; i < READS; i++) {
                reads.add(send(RawCaller.get("/read/1", "r" + i)));
            }
            TestFleet.await(() -> runs(upstream) + runs(second) == READS);
            assertThat(runs(upstream)).isGreaterThan(0L);

            // when
            leaveAndStop();
            workDone.countDown();

            // then
            for (CompletableFuture<RawCaller.Answer> read : reads) {
                assertThat(read.get().status()).isEqualTo(OK);
            }
            assertThat(runs(upstream) + runs(second)).isEqualTo(READS);
        }
    }

    /** The other direction: the target closes its own link to the entry, which carries no calls. */
    @Test
    void should_forward_the_answer_when_the_entry_is_no_longer_a_member() throws Exception {
        // given
        entry.announce("i-3", 300, 1, "ready");
        CompletableFuture<RawCaller.Answer> booking = startBooking();
        TestFleet.await(() -> target.log().contains("event=member-added node=entry"));

        // when
        entry.post("/v1/Instances.Deregister/i-3", "{\"born\":300}");
        entry.stop();
        TestFleet.await(() -> target.log().contains("event=member-removed node=entry"));
        workDone.countDown();

        // then
        assertThat(booking.get().status()).isEqualTo(OK);
    }

    /** Guards against 502 for a booking whose VM is given to another service meanwhile. */
    @Test
    void should_forward_the_answer_when_the_service_of_its_node_changes() throws Exception {
        // given
        CompletableFuture<RawCaller.Answer> booking = startBooking();

        // when
        target.announceService("other", "i-2", 200, 1);
        TestFleet.await(() -> entry.log().contains("event=member-added node=target service=other"));
        workDone.countDown();

        // then
        assertThat(booking.get().status()).isEqualTo(OK);
        assertThat(upstream.runCount("r1")).isEqualTo(1);
    }

    /** Sends a booking and waits until the upstream runs it. */
    private CompletableFuture<RawCaller.Answer> startBooking() throws Exception {
        CompletableFuture<RawCaller.Answer> answer = send(RawCaller.post("/order/1", "r1", "b"));
        TestFleet.await(() -> upstream.runCount("r1") == 1);
        return answer;
    }

    private CompletableFuture<RawCaller.Answer> send(String request) {
        return CompletableFuture.supplyAsync(
                () -> {
                    try (RawCaller caller = entry.caller()) {
                        return caller.exchange(request);
                    } catch (IOException failure) {
                        throw new IllegalStateException(failure);
                    }
                },
                callers);
    }

    /** Whether the node reads changes of the store, or is told of them, without delay. */
    private static boolean hearsOfChanges(InProcessRelay node) {
        return node.log().contains("event=store-reader reads=true")
                || node.log().contains("event=store-informed by_reader=true");
    }

    private static long runs(UpstreamStandIn upstream) {
        return upstream.requests().stream().filter(run -> run.line().contains("/read/")).count();
    }

    private void leaveAndStop() throws Exception {
        assertThat(target.post("/v1/Instances.Deregister/i-1", "{\"born\":100}")).isEqualTo(OK);
        target.stop();
        TestFleet.await(() -> entry.log().contains("event=member-removed node=target"));
    }
}
