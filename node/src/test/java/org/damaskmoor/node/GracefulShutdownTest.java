package org.damaskmoor.node;

import static com.google.common.truth.Truth.assertThat;

import com.sun.net.httpserver.HttpExchange;
import java.io.IOException;
import java.net.ConnectException;
import java.util.ArrayList;
import java.util.List;
import java.util.Queue;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;
import org.damaskmoor.node.fixture.FakeUpstream;
import org.damaskmoor.node.fixture.RawClient;
import org.damaskmoor.node.fixture.TestCluster;
import org.damaskmoor.node.fixture.TestNode;
import org.junit.jupiter.api.Test;

final class GracefulShutdownTest {
    private static final int NODES = 2;
    private static final int CALLERS = 3;

    private static void serve(HttpExchange exchange) throws IOException {
        TestNode.pause();
        FakeUpstream.answer(exchange, "done");
    }

    @Test
    void should_complete_all_requests_when_every_node_is_replaced() throws Exception {
        // given
        try (TestCluster cluster = new TestCluster(GracefulShutdownTest::serve, settings -> {})) {
            List<TestCluster.Pair> replaced = new ArrayList<>();
            for (int i = 1; i <= NODES; i++) {
                replaced.add(cluster.addNode(i));
            }
            LoadGenerator load = new LoadGenerator();
            replaced.forEach(pair -> load.entries.add(pair.node()));
            load.start();

            // when
            for (TestCluster.Pair pair : replaced) {
                load.entries.add(cluster.addNode(NODES + 1).node());
                pair.stop();
                load.entries.remove(pair.node());
            }
            load.stop();

            // then
            assertThat(load.failures).isEmpty();
            assertThat(load.answered.get()).isGreaterThan(0);
        }
    }

    @Test
    void should_send_no_new_requests_when_upstream_leaves() throws Exception {
        // given
        try (TestCluster cluster = new TestCluster(GracefulShutdownTest::serve, settings -> {})) {
            TestCluster.Pair remaining = cluster.addNode(1);
            TestCluster.Pair leaving = cluster.addNode(2);

            // when
            leaving.upstream().announce("leaving");
            int before = leaving.upstream().started.get();
            List<String> answers = new ArrayList<>();
            for (int i = 0; i < 20; i++) {
                answers.add(TestCluster.sendRequest(remaining.node(), "POST /bookings"));
                answers.add(TestCluster.sendRequest(leaving.node(), "POST /bookings"));
            }

            // then
            answers.forEach(answer -> assertThat(answer).endsWith("\r\n\r\ndone"));
            assertThat(leaving.upstream().started.get()).isEqualTo(before);
        }
    }

    /**
     * Callers that reuse a connection until asked to close it, then connect to the next entry node.
     */
    private static final class LoadGenerator {
        final List<TestNode> entries = new CopyOnWriteArrayList<>();
        final Queue<String> failures = new ConcurrentLinkedQueue<>();
        final AtomicInteger answered = new AtomicInteger();
        private final AtomicBoolean stopped = new AtomicBoolean();
        private final List<Thread> callers = new ArrayList<>();

        void start() {
            for (int i = 0; i < CALLERS; i++) {
                Thread caller = new Thread(this::sendRequests, "caller-" + i);
                callers.add(caller);
                caller.start();
            }
        }

        void stop() throws InterruptedException {
            stopped.set(true);
            for (Thread caller : callers) {
                caller.join();
            }
        }

        private void sendRequests() {
            int next = 0;
            while (!stopped.get()) {
                TestNode entry = entries.get(next++ % entries.size());
                try (RawClient client = new RawClient(entry.port())) {
                    useConnection(client);
                } catch (ConnectException notConnected) {
                    // No request was sent: connect to the next entry node.
                    TestNode.pause();
                } catch (IOException disconnected) {
                    failures.add(disconnected.toString());
                }
            }
        }

        private void useConnection(RawClient client) throws IOException {
            boolean open = true;
            while (open && !stopped.get()) {
                String answer =
                        client.send("POST /bookings" + TestCluster.HOST + "\r\n").readAnswer();
                if (answer.endsWith("\r\n\r\ndone")) {
                    answered.incrementAndGet();
                } else {
                    failures.add(answer);
                }
                open = !answer.contains("Connection: close");
            }
        }
    }
}
