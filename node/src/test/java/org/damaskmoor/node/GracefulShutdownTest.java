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
    void should_cut_off_no_request_when_every_node_is_replaced() throws Exception {
        // given
        try (TestCluster group = new TestCluster(GracefulShutdownTest::serve, settings -> {})) {
            List<TestCluster.Pair> old = new ArrayList<>();
            for (int i = 1; i <= NODES; i++) {
                old.add(group.addNode(i));
            }
            Load load = new Load();
            old.forEach(pair -> load.entries.add(pair.node()));
            load.start();

            // when
            for (TestCluster.Pair pair : old) {
                load.entries.add(group.addNode(NODES + 1).node());
                pair.stop();
                load.entries.remove(pair.node());
            }
            load.stop();

            // then
            assertThat(load.faults).isEmpty();
            assertThat(load.answered.get()).isGreaterThan(0);
        }
    }

    @Test
    void should_get_no_new_work_when_upstream_leaves() throws Exception {
        // given
        try (TestCluster group = new TestCluster(GracefulShutdownTest::serve, settings -> {})) {
            TestCluster.Pair stays = group.addNode(1);
            TestCluster.Pair leaves = group.addNode(2);

            // when
            leaves.upstream().announce("leaving");
            int before = leaves.upstream().started.get();
            List<String> answers = new ArrayList<>();
            for (int i = 0; i < 20; i++) {
                answers.add(TestCluster.sendRequest(stays.node(), "POST /bookings"));
                answers.add(TestCluster.sendRequest(leaves.node(), "POST /bookings"));
            }

            // then
            answers.forEach(answer -> assertThat(answer).endsWith("\r\n\r\ndone"));
            assertThat(leaves.upstream().started.get()).isEqualTo(before);
        }
    }

    /** Callers that keep a connection until told to close it, and go to the next entry then. */
    private static final class Load {
        final List<TestNode> entries = new CopyOnWriteArrayList<>();
        final Queue<String> faults = new ConcurrentLinkedQueue<>();
        final AtomicInteger answered = new AtomicInteger();
        private final AtomicBoolean stopped = new AtomicBoolean();
        private final List<Thread> callers = new ArrayList<>();

        void start() {
            for (int i = 0; i < CALLERS; i++) {
                Thread caller = new Thread(this::call, "caller-" + i);
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

        private void call() {
            int turn = 0;
            while (!stopped.get()) {
                TestNode entry = entries.get(turn++ % entries.size());
                try (RawClient client = new RawClient(entry.port())) {
                    useConnection(client);
                } catch (ConnectException notConnected) {
                    // Nothing was sent: the caller goes to the next entry.
                    TestNode.pause();
                } catch (IOException cutOff) {
                    faults.add(cutOff.toString());
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
                    faults.add(answer);
                }
                open = !answer.contains("Connection: close");
            }
        }
    }
}
