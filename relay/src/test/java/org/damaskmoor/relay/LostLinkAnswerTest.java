package org.damaskmoor.relay;

import static com.google.common.truth.Truth.assertThat;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.damaskmoor.platform.standin.RawCaller;
import org.damaskmoor.platform.standin.UpstreamStandIn;
import org.damaskmoor.platform.standin.UpstreamStandIn.Connection;
import org.damaskmoor.platform.standin.UpstreamStandIn.Request;
import org.damaskmoor.relay.fixture.CuttableLink;
import org.damaskmoor.relay.fixture.InProcessRelay;
import org.damaskmoor.relay.fixture.TestFleet;
import org.damaskmoor.relay.internal.net.LoopbackAddresses;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Whose answer a caller gets when the link to its target, or a node at an end of it, is lost. */
class LostLinkAnswerTest {
    private static final int OK = 200;
    private static final int FAILURE = 500;
    private static final int BAD_GATEWAY = 502;
    private static final int GATEWAY_TIMEOUT = 504;

    /** Time for which the upstream runs a request, long enough to lose a link meanwhile. */
    private static final long RUN_MILLISECONDS = 400;

    private TestFleet fleet;
    private UpstreamStandIn upstream;
    private UpstreamStandIn unused;
    private CuttableLink link;
    private InProcessRelay target;
    private InProcessRelay entry;

    @BeforeEach
    void start() throws Exception {
        fleet = new TestFleet();
        upstream = new UpstreamStandIn();
        upstream.setScript(
                (request, connection) -> {
                    Thread.sleep(RUN_MILLISECONDS);
                    answerById(request, connection);
                });
        unused = new UpstreamStandIn();
        var targetLinks = LoopbackAddresses.next();
        link = new CuttableLink(targetLinks);
        target =
                new InProcessRelay(
                        "target",
                        "books",
                        upstream.address(),
                        fleet.store.address(),
                        targetLinks,
                        link.address(),
                        List.of());
        TestFleet.await(target::isReady);
        target.announce("i-1", 100, 1, "ready");
        entry = new InProcessRelay("entry", "other", unused.address(), fleet.store.address());
        awaitTarget(entry);
    }

    @AfterEach
    void stop() throws Exception {
        entry.close();
        target.close();
        link.close();
        upstream.close();
        unused.close();
        fleet.close();
    }

    @Test
    void should_forward_the_answer_of_its_own_run_when_the_link_is_cut_and_opened_again()
            throws Exception {
        // given
        List<String> ids = List.of("ok-1", "no-2", "ok-3", "no-4", "ok-5", "no-6");
        List<CompletableFuture<RawCaller.Answer>> answers = new ArrayList<>();
        for (String id : ids) {
            answers.add(sendLater(entry, RawCaller.post("/order/1", id, "body")));
        }
        TestFleet.await(() -> upstream.requests().size() == ids.size());

        // when
        int cut = link.cut();
        awaitLink();

        // then
        assertThat(cut).isAtLeast(1);
        assertThat(target.log()).contains("event=call-sealed");
        for (int i = 0; i < ids.size(); i++) {
            assertOwn(answers.get(i).get(), ids.get(i));
            assertThat(upstream.runCount(ids.get(i))).isEqualTo(1);
        }
    }

    @Test
    void should_forward_status_and_body_of_one_attempt_when_the_link_of_another_is_cut()
            throws Exception {
        // given a slow failure and a quick success
        try (UpstreamStandIn second = new UpstreamStandIn();
                InProcessRelay other = fleet.relay("zother", second)) {
            TestFleet.await(() -> entry.log().contains("event=member-added node=zother"));
            upstream.setScript(
                    (request, connection) -> {
                        Thread.sleep(RUN_MILLISECONDS);
                        connection.send(UpstreamStandIn.answer(request.id(), FAILURE, "first"));
                    });
            second.setScript(
                    (request, connection) -> {
                        Thread.sleep(RUN_MILLISECONDS / 2);
                        connection.send(UpstreamStandIn.answer(request.id(), OK, "second"));
                    });
            List<CompletableFuture<RawCaller.Answer>> answers = new ArrayList<>();
            for (int i = 0; i < 8; i++) {
                answers.add(sendLater(entry, RawCaller.get("/read/1", "r" + i)));
            }
            TestFleet.await(() -> upstream.requests().size() + second.requests().size() >= 8);

            // when
            link.cut();

            // then
            for (CompletableFuture<RawCaller.Answer> answer : answers) {
                int status = answer.get().status();
                assertThat(status).isAnyOf(OK, FAILURE, BAD_GATEWAY);
                if (status != BAD_GATEWAY) {
                    assertThat(answer.get().body()).isEqualTo(status == OK ? "second" : "first");
                }
            }
        }
    }

    @Test
    void should_not_forward_the_answer_to_a_request_of_the_former_process_of_the_node()
            throws Exception {
        // given the first request of a process, which is killed
        CompletableFuture<RawCaller.Answer> former =
                sendLater(entry, RawCaller.post("/order/1", "ok-former", "body"));
        TestFleet.await(() -> upstream.runCount("ok-former") == 1);
        entry.kill();
        entry.close();
        former.cancel(true);

        // when the next process sends its first request while the former one is still running
        entry = fleet.restart(entry, unused);
        awaitTarget(entry);
        for (String id : List.of("no-1", "ok-2", "no-3")) {
            RawCaller.Answer answer =
                    sendLater(entry, RawCaller.post("/order/1", id, "body")).get();

            // then
            assertOwn(answer, id);
        }
    }

    @Test
    void should_not_forward_an_answer_of_the_former_process_of_the_target() throws Exception {
        // given
        CompletableFuture<RawCaller.Answer> open =
                sendLater(entry, RawCaller.post("/order/1", "ok-1", "body"));
        TestFleet.await(() -> upstream.runCount("ok-1") == 1);
        target.kill();

        // when
        assertThat(open.get().status()).isAnyOf(BAD_GATEWAY, GATEWAY_TIMEOUT);
        upstream.setScript(LostLinkAnswerTest::answerById);
        target.close();
        try (InProcessRelay restarted = fleet.restart(target, upstream)) {
            restarted.announce("i-1", 100, 2, "ready");

            // then
            for (String id : List.of("no-2", "ok-3", "no-4")) {
                try (RawCaller caller = restarted.caller()) {
                    assertOwn(caller.exchange(RawCaller.post("/order/1", id, "body")), id);
                }
            }
        }
    }

    /** Sends requests until one is answered, because a link is opened again when it is needed. */
    private void awaitLink() throws Exception {
        TestFleet.await(
                () -> sendLater(entry, RawCaller.get("/read/1", "ok-link")).get().status() == OK);
    }

    private static void awaitTarget(InProcessRelay node) throws Exception {
        TestFleet.await(node::isReady);
        TestFleet.await(() -> node.log().contains("event=member-added node=target"));
    }

    /** Answers requests whose id begins with "ok" with a success and others with a failure. */
    private static void answerById(Request request, Connection connection) throws IOException {
        connection.send(
                UpstreamStandIn.answer(
                        request.id(), statusOf(request.id()), UpstreamStandIn.body(request.id())));
    }

    private static int statusOf(String id) {
        return id.startsWith("ok") ? OK : FAILURE;
    }

    private static void assertOwn(RawCaller.Answer answer, String id) {
        assertThat(answer.body()).isEqualTo(UpstreamStandIn.body(id));
        assertThat(answer.headers().get("request-id")).isEqualTo(id);
        assertThat(answer.status()).isEqualTo(statusOf(id));
    }

    private static CompletableFuture<RawCaller.Answer> sendLater(
            InProcessRelay node, String request) {
        return CompletableFuture.supplyAsync(
                () -> {
                    try (RawCaller caller = node.caller()) {
                        return caller.exchange(request);
                    } catch (IOException failure) {
                        throw new IllegalStateException(failure);
                    }
                });
    }
}
