package org.damaskmoor.node;

import static com.google.common.truth.Truth.assertThat;

import com.sun.net.httpserver.HttpExchange;
import java.io.IOException;
import java.util.List;
import java.util.concurrent.atomic.AtomicReference;
import org.damaskmoor.node.fixture.FakeUpstream;
import org.damaskmoor.node.fixture.TestCluster;
import org.damaskmoor.node.fixture.TestNode;
import org.junit.jupiter.api.Test;

final class QuarantineTest {
    private static final String POISON = "POST /bookings?poison";

    private final AtomicReference<List<TestCluster.Pair>> pairs = new AtomicReference<>(List.of());

    private void serve(HttpExchange exchange) throws IOException {
        boolean poison = "poison".equals(exchange.getRequestURI().getQuery());
        if (poison) {
            int port = exchange.getLocalAddress().getPort();
            pairs.get().stream()
                    .map(TestCluster.Pair::upstream)
                    .filter(upstream -> upstream.port() == port)
                    .forEach(FakeUpstream::crash);
        } else {
            FakeUpstream.answer(exchange, "done");
        }
    }

    @Test
    void should_quarantine_only_request_that_was_in_flight_when_two_upstreams_crashed()
            throws IOException {
        // given
        try (TestCluster cluster =
                new TestCluster(
                        this::serve, settings -> settings.setAnnouncementLeaseMilliseconds(500))) {
            pairs.set(List.of(cluster.addNode(1), cluster.addNode(2), cluster.addNode(3)));
            TestNode entry = pairs.get().get(0).node();

            // when
            for (int crashes = 1; crashes <= 2; crashes++) {
                assertThat(TestCluster.sendRequest(entry, POISON))
                        .contains("Damaskmoor-Outcome: unknown");
                awaitCrashes(crashes);
            }

            // then
            assertThat(TestCluster.sendRequest(entry, POISON))
                    .contains("\"reason\":\"quarantined\"");
            assertThat(TestCluster.sendRequest(entry, "POST /bookings")).endsWith("\r\n\r\ndone");
        }
    }

    private void awaitCrashes(int count) {
        for (TestCluster.Pair pair : pairs.get()) {
            TestNode.await(
                    "every node has the crash records",
                    () -> pair.node().metric("damaskmoor_crash_records") >= count);
        }
    }
}
