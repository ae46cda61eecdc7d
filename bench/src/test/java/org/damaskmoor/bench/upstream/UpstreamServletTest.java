package org.damaskmoor.bench.upstream;

import static com.google.common.truth.Truth.assertThat;

import java.io.IOException;
import java.time.Duration;
import java.util.List;
import java.util.Random;
import org.damaskmoor.bench.http.BlockingClient;
import org.damaskmoor.bench.http.EventLoopServer;
import org.damaskmoor.bench.http.Reply;
import org.damaskmoor.bench.upstream.ServiceTimes.ColdStart;
import org.damaskmoor.bench.verification.UpstreamRuns;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

class UpstreamServletTest {
    private EventLoopServer server;
    private BlockingClient client;
    private String url;

    @BeforeEach
    void start() throws IOException {
        server =
                new EventLoopServer(
                        "upstream",
                        0,
                        eventLoop ->
                                new UpstreamServlet(
                                        eventLoop,
                                        new Slots(1),
                                        new ServiceTimes(0, new Random(1), new ColdStart(0, 1), 0),
                                        new UpstreamFaults(),
                                        new RunLedger(),
                                        () -> {}));
        client = new BlockingClient(Duration.ofSeconds(20));
        url = "http://127.0.0.1:" + server.port();
    }

    @AfterEach
    void stop() {
        client.close();
        server.close();
    }

    private List<UpstreamRuns> ledger() throws IOException {
        return UpstreamRuns.parse(client.get(url + "/stand-in/ledger").body().toStringUtf8());
    }

    @Test
    void should_record_every_run_when_the_same_booking_arrives_twice() throws IOException {
        // when
        Reply answer = client.post(url + "/bookings/7?nonce=n1", "");
        client.post(url + "/bookings/7?nonce=n1", "");
        client.get(url + "/visits/7?nonce=n2");

        // then
        assertThat(answer.body()).isEqualTo(EchoBody.of("n1", "/bookings/7"));
        assertThat(ledger()).containsExactly(new UpstreamRuns("n1", List.of(1, 1)));
    }

    @Test
    void should_not_run_when_shedding() throws IOException {
        // given
        client.post(url + "/stand-in/faults", "{\"shed\": true}");

        // when
        Reply answer = client.post(url + "/bookings/7?nonce=n1", "");

        // then
        assertThat(answer.status()).isEqualTo(503);
        assertThat(answer.outcome()).hasValue("not-run");
        assertThat(ledger()).isEmpty();
    }
}
