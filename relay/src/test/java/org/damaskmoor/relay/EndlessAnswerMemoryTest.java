package org.damaskmoor.relay;

import static com.google.common.truth.Truth.assertThat;

import java.io.IOException;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import org.damaskmoor.platform.standin.RawCaller;
import org.damaskmoor.platform.standin.UpstreamStandIn;
import org.damaskmoor.relay.fixture.DeployedRelay;
import org.damaskmoor.relay.fixture.TestFleet;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Endless answers on all connections at once: a relay with little memory serves other callers. */
class EndlessAnswerMemoryTest {
    private static final int CALLS = 60;
    private static final int OTHER_CALLS = 20;
    private static final int MAX_NOT_SERVED = 3;
    private static final int SLOTS = 80;

    /** Nearly as much of short fields as the decoder allows, which does not count line ends. */
    private static final int HEAD_BYTES = 125_000;

    private static final int TIMEOUT_MILLISECONDS = 6000;

    /** Time in which the other requests must be answered; the route's timeout is 2 s. */
    private static final long MAX_MILLISECONDS = 1500;

    @TempDir private Path directory;
    private final ExecutorService threads = Executors.newCachedThreadPool();
    private TestFleet fleet;
    private UpstreamStandIn upstream;
    private DeployedRelay relay;

    @BeforeEach
    void start() throws Exception {
        fleet = new TestFleet();
        upstream = new UpstreamStandIn();
        relay = new DeployedRelay(directory, "one", upstream.address(), fleet.store.address());
        TestFleet.await(relay::isReady);
        relay.announce(SLOTS);
        TestFleet.await(() -> exchange("ready").status() == 200);
    }

    @AfterEach
    void stop() throws Exception {
        relay.close();
        upstream.close();
        fleet.close();
        threads.shutdownNow();
    }

    @Test
    void should_serve_other_callers_when_heads_have_many_short_fields() throws Exception {
        expectOthersServed(
                "HTTP/1.1 200 OK\r\nRequest-Id: %s\r\n", "a:\r\n".repeat(100), HEAD_BYTES);
    }

    @Test
    void should_serve_other_callers_when_trailers_have_many_short_fields() throws Exception {
        expectOthersServed(
                "HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n",
                "a:\r\n".repeat(100), HEAD_BYTES);
    }

    @Test
    void should_serve_other_callers_when_bodies_have_no_end() throws Exception {
        expectOthersServed(
                "HTTP/1.1 200 OK\r\nRequest-Id: %s\r\n\r\n", "x".repeat(8000), Long.MAX_VALUE);
    }

    @Test
    void should_serve_other_callers_when_bodies_of_short_chunks_have_no_end() throws Exception {
        expectOthersServed(
                "HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nTransfer-Encoding: chunked\r\n\r\n",
                "1\r\nx\r\n".repeat(1000), Long.MAX_VALUE);
    }

    @Test
    void should_serve_other_callers_when_chunk_extensions_have_no_end() throws Exception {
        expectOthersServed(
                "HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nTransfer-Encoding: chunked\r\n\r\n",
                "1;" + "e".repeat(8000) + "\r\nx\r\n", Long.MAX_VALUE);
    }

    @Test
    void should_serve_other_callers_when_bodies_stop_within_the_bound() throws Exception {
        expectOthersServed(
                "HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nContent-Length: 8000000\r\n\r\n",
                "x".repeat(8000), 7_900_000);
    }

    private void expectOthersServed(String head, String repeated, long bytesOfEach)
            throws Exception {
        // given
        upstream.setScript(
                (request, connection) -> {
                    if (request.id().startsWith("endless")) {
                        OutputStream output = connection.socket().getOutputStream();
                        write(output, head.formatted(request.id()), repeated, bytesOfEach);
                        Thread.sleep(TIMEOUT_MILLISECONDS);
                    } else {
                        UpstreamStandIn.answerOk(request, connection);
                    }
                });

        // when
        List<CompletableFuture<Integer>> endless = new ArrayList<>();
        for (int i = 0; i < CALLS; i++) {
            String id = "endless-" + i;
            endless.add(CompletableFuture.supplyAsync(() -> status(id), threads));
        }
        List<String> notServed = new ArrayList<>();
        for (int i = 0; i < OTHER_CALLS && notServed.size() < MAX_NOT_SERVED; i++) {
            long startedAt = System.nanoTime();
            int status = status("other-" + i);
            long milliseconds = (System.nanoTime() - startedAt) / 1_000_000;
            if (status != 200 || milliseconds > MAX_MILLISECONDS) {
                notServed.add("status " + status + " after " + milliseconds + " ms");
            }
            Thread.sleep(100);
        }

        // then
        assertThat(relay.output()).doesNotContain("OutOfMemoryError");
        assertThat(relay.output()).doesNotContain("Cannot reserve");
        assertThat(notServed).isEmpty();
        for (CompletableFuture<Integer> call : endless) {
            assertThat(call.get(TIMEOUT_MILLISECONDS, TimeUnit.MILLISECONDS)).isAnyOf(502, 504);
        }
        assertThat(relay.isAlive()).isTrue();
    }

    private static void write(OutputStream output, String head, String repeated, long bytes)
            throws IOException {
        output.write(head.getBytes(StandardCharsets.UTF_8));
        byte[] part = repeated.getBytes(StandardCharsets.UTF_8);
        for (long sent = 0; sent < bytes; sent += part.length) {
            output.write(part);
        }
    }

    private int status(String id) {
        try {
            return exchange(id).status();
        } catch (IOException closed) {
            return 0;
        }
    }

    private RawCaller.Answer exchange(String id) throws IOException {
        try (RawCaller caller = relay.caller(TIMEOUT_MILLISECONDS)) {
            return caller.exchange(RawCaller.get("/read/1", id));
        }
    }
}
