package org.damaskmoor.relay;

import static com.google.common.truth.Truth.assertThat;

import java.io.IOException;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import org.damaskmoor.platform.standin.RawCaller;
import org.damaskmoor.platform.standin.UpstreamStandIn;
import org.damaskmoor.relay.fixture.InProcessRelay;
import org.damaskmoor.relay.fixture.TestFleet;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** What large answers cost the event loop, on which all other requests wait meanwhile. */
class AnswerCostTest {
    private static final int ANSWER_BYTES = 8_000_000;
    private static final String STATUS_LINE = "HTTP/1.1 200 OK\r\n";

    /** Stands for the id of the request that is answered. */
    private static final String ID = "(id)";

    private static final String HEAD = STATUS_LINE + "Request-Id: " + ID + "\r\n";

    /**
     * The largest answer holds up others for less than half a second on a VM with 0.3 of a
     * processor.
     */
    private static final double MAX_MILLISECONDS = 0.3 * 500;

    private TestFleet fleet;
    private UpstreamStandIn upstream;
    private InProcessRelay relay;

    @BeforeEach
    void start() throws Exception {
        fleet = new TestFleet();
        upstream = new UpstreamStandIn();
        relay = fleet.relay("one", upstream);
        TestFleet.await(() -> exchange("ready").status() == 200);
    }

    @AfterEach
    void stop() throws Exception {
        relay.close();
        upstream.close();
        fleet.close();
    }

    /** Guards against a search for a second answer that takes seconds. */
    @Test
    void should_cost_little_when_a_body_without_length_repeats_status_lines() throws Exception {
        assertCheap(HEAD + "\r\n", STATUS_LINE);
    }

    @Test
    void should_cost_little_when_a_body_without_length_contains_whole_heads() throws Exception {
        assertCheap(HEAD + "\r\n", STATUS_LINE + "Name: value\r\n".repeat(65) + "\r\n");
    }

    @Test
    void should_cost_little_when_a_body_without_length_is_one_line() throws Exception {
        assertCheap(HEAD + "\r\n", "HTTP/1.1 20");
    }

    @Test
    void should_cost_little_when_chunks_repeat_status_lines() throws Exception {
        String chunk = STATUS_LINE.repeat(240);
        assertCheap(
                HEAD + "Transfer-Encoding: chunked\r\n\r\n",
                Integer.toHexString(chunk.length()) + "\r\n" + chunk + "\r\n",
                "0\r\n\r\n");
    }

    /** Bytes behind the body make the relay search it for the status line of another answer. */
    @Test
    void should_cost_little_when_bytes_follow_a_body_of_starts_of_status_lines() throws Exception {
        assertCheap(
                HEAD + "Content-Length: " + (ANSWER_BYTES - 1000) / 11 * 11 + "\r\n\r\n",
                "HTTP/1.1 20");
    }

    /** Guards against fields that are copied once for each line that continues them. */
    @Test
    void should_cost_little_when_heads_of_skipped_answers_have_many_folded_lines()
            throws Exception {
        assertCheap(
                "",
                STATUS_LINE
                        + "Request-Id: another\r\nContent-Length: 0\r\nName: value\r\n"
                        + " a\r\n".repeat(15_000)
                        + "\r\n");
    }

    private void assertCheap(String head, String repeated) throws Exception {
        assertCheap(head, repeated, "");
    }

    private void assertCheap(String head, String repeated, String end) throws Exception {
        // given
        byte[] part =
                repeated.repeat(8000 / repeated.length() + 1).getBytes(StandardCharsets.UTF_8);
        upstream.setScript(
                (request, connection) -> {
                    String ownHead = head.replace(ID, request.id());
                    write(connection.socket().getOutputStream(), ownHead, part);
                    connection.send(end);
                    connection.close();
                });
        exchange("warm-up");
        long before = relay.eventLoopProcessorTime();

        // when
        exchange("large");

        // then
        double milliseconds = (relay.eventLoopProcessorTime() - before) / 1e6;
        assertThat(milliseconds).isLessThan(MAX_MILLISECONDS);
    }

    private static void write(OutputStream output, String head, byte[] part) throws IOException {
        output.write(head.getBytes(StandardCharsets.UTF_8));
        for (int sent = 0; sent + part.length <= ANSWER_BYTES; sent += part.length) {
            output.write(part);
        }
    }

    private RawCaller.Answer exchange(String id) throws IOException {
        try (RawCaller caller = relay.caller()) {
            return caller.exchange(RawCaller.post("/order/1", id, "body"));
        }
    }
}
