package org.damaskmoor.relay;

import static com.google.common.truth.Truth.assertThat;

import java.io.IOException;
import java.util.List;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;
import org.damaskmoor.platform.standin.RawCaller;
import org.damaskmoor.platform.standin.UpstreamStandIn;
import org.damaskmoor.platform.standin.UpstreamStandIn.Connection;
import org.damaskmoor.platform.standin.UpstreamStandIn.Request;
import org.damaskmoor.relay.fixture.InProcessRelay;
import org.damaskmoor.relay.fixture.TestFleet;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/**
 * Requests that come more than once with one id, as the calls of a request that runs again may, to
 * an upstream that answers twice.
 */
class RepeatedRequestIdTest {
    private static final int OK = 200;
    private static final int FAILURE = 500;

    /** Time in which a copy reaches the relay before the answer that follows it. */
    private static final long COPY_AHEAD_MILLISECONDS = 20;

    private final List<Connection> answeredOn = new CopyOnWriteArrayList<>();
    private TestFleet fleet;
    private UpstreamStandIn upstream;
    private UpstreamStandIn unused;
    private InProcessRelay target;
    private InProcessRelay entry;

    @BeforeEach
    void start() throws Exception {
        fleet = new TestFleet();
        upstream = new UpstreamStandIn();
        upstream.setHealthScript(RepeatedRequestIdTest::answerWithoutLoad);
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

    /** Guards against a failure that reaches its caller as the success of an earlier run. */
    @Test
    void should_forward_a_failure_as_it_is_when_the_success_of_an_earlier_run_comes_again()
            throws Exception {
        // given
        upstream.setScript(this::succeedOnceThenCopyAndFail);

        // when
        RawCaller.Answer first = sendRequest(target, "again");
        RawCaller.Answer second = sendRequest(target, "again");

        // then
        assertThat(first.status()).isEqualTo(OK);
        assertThat(upstream.runCount("again")).isEqualTo(2);
        assertThat(second.status()).isEqualTo(FAILURE);
    }

    /** Guards against a failure that reaches its caller as the success of another caller. */
    @Test
    void should_forward_a_failure_as_it_is_when_another_node_has_sent_the_same_id()
            throws Exception {
        // given
        upstream.setScript(this::succeedOnceThenCopyAndFail);

        // when
        RawCaller.Answer first = sendRequest(entry, "again");
        RawCaller.Answer second = sendRequest(target, "again");

        // then
        assertThat(first.status()).isEqualTo(OK);
        assertThat(upstream.runCount("again")).isEqualTo(2);
        assertThat(second.status()).isEqualTo(FAILURE);
    }

    /** Guards against a failure that reaches its caller as the success of an earlier run. */
    @Test
    void should_forward_a_failure_as_it_is_when_other_requests_came_between_the_runs()
            throws Exception {
        // given
        upstream.setScript(
                (request, connection) -> {
                    if (request.id().equals("again")) {
                        succeedOnceThenCopyAndFail(request, connection);
                    } else {
                        UpstreamStandIn.answerOk(request, connection);
                    }
                });

        // when
        sendRequest(target, "again");
        for (int i = 0; i < 50; i++) {
            sendRequest(target, "between-" + i);
        }
        RawCaller.Answer second = sendRequest(target, "again");

        // then
        assertThat(second.status()).isEqualTo(FAILURE);
    }

    @Test
    void should_give_each_run_its_own_answer_when_two_runs_with_one_id_overlap() throws Exception {
        // given an upstream that answers each run with the path of its request
        upstream.setScript(
                (request, connection) -> {
                    Thread.sleep(request.line().contains("/order/1") ? 100 : 30);
                    String answer =
                            UpstreamStandIn.answer(
                                    request.id(), OK, request.line().split(" ", -1)[1]);
                    connection.send(answer);
                    Thread.sleep(COPY_AHEAD_MILLISECONDS);
                    connection.send(answer);
                });

        for (int i = 0; i < 10; i++) {
            String id = "both-" + i;

            // when
            CompletableFuture<RawCaller.Answer> slow =
                    CompletableFuture.supplyAsync(() -> sendUnchecked("/order/1", id));
            RawCaller.Answer fast = sendUnchecked("/order/2", id);

            // then
            assertThat(fast.body()).isEqualTo("/order/2");
            assertThat(slow.get().body()).isEqualTo("/order/1");
        }
    }

    @Test
    void should_send_requests_with_different_ids_over_one_connection() throws Exception {
        // given
        Set<Integer> connections = ConcurrentHashMap.newKeySet();
        upstream.setScript(
                (request, connection) -> {
                    connections.add(connection.socket().getPort());
                    UpstreamStandIn.answerOk(request, connection);
                });

        // when
        for (int i = 0; i < 200; i++) {
            sendRequest(target, "r" + i);
        }

        // then
        assertThat(connections).hasSize(1);
    }

    @Test
    void should_open_another_connection_when_one_has_carried_many_requests() throws Exception {
        // given
        Set<Integer> connections = ConcurrentHashMap.newKeySet();
        upstream.setScript(
                (request, connection) -> {
                    connections.add(connection.socket().getPort());
                    UpstreamStandIn.answerOk(request, connection);
                });

        // when
        try (RawCaller caller = target.caller()) {
            for (int i = 0; i < 1500; i++) {
                String id = "r" + i;
                assertThat(caller.exchange(RawCaller.post("/order/1", id, "body")).isOwn(id))
                        .isTrue();
            }
        }

        // then
        assertThat(connections).hasSize(2);
    }

    @Test
    void should_not_keep_more_connections_open_when_one_id_comes_many_times() throws Exception {
        // given
        Set<Connection> connections = ConcurrentHashMap.newKeySet();
        upstream.setScript(
                (request, connection) -> {
                    connections.add(connection);
                    UpstreamStandIn.answerOk(request, connection);
                });

        // when
        for (int i = 0; i < 20; i++) {
            assertThat(sendRequest(target, "again").isOwn("again")).isTrue();
        }

        // then
        TestFleet.await(
                () ->
                        connections.stream()
                                        .filter(connection -> !connection.socket().isClosed())
                                        .count()
                                <= 1);
    }

    private void succeedOnceThenCopyAndFail(Request request, Connection connection)
            throws Exception {
        String success = UpstreamStandIn.answer(request.id(), OK, "of the first run");
        answeredOn.add(connection);
        if (answeredOn.size() == 1) {
            connection.send(success);
            return;
        }
        sendIfOpen(answeredOn.get(0), success);
        Thread.sleep(COPY_AHEAD_MILLISECONDS);
        sendIfOpen(connection, UpstreamStandIn.answer(request.id(), FAILURE, "of the second run"));
    }

    private static void sendIfOpen(Connection connection, String text) {
        try {
            connection.send(text);
        } catch (IOException closed) {
            // The relay has closed the connection, so that nothing can come over it any more.
        }
    }

    /** Prevents further health checks, which would use the connection between the calls. */
    private static void answerWithoutLoad(Connection connection) throws IOException {
        connection.send("HTTP/1.1 200 OK\r\nInstance-Id: i-1\r\nContent-Length: 0\r\n\r\n");
    }

    private RawCaller.Answer sendUnchecked(String path, String id) {
        try (RawCaller caller = target.caller()) {
            return caller.exchange(RawCaller.post(path, id, "body"));
        } catch (IOException failure) {
            throw new IllegalStateException(failure);
        }
    }

    /** Sends a request that is not sent to a second upstream. */
    private static RawCaller.Answer sendRequest(InProcessRelay node, String id) throws Exception {
        try (RawCaller caller = node.caller()) {
            return caller.exchange(RawCaller.post("/order/1", id, "body"));
        }
    }
}
