package org.damaskmoor.relay;

import static com.google.common.truth.Truth.assertThat;

import org.damaskmoor.platform.standin.ConfigurationJson;
import org.damaskmoor.platform.standin.RawCaller;
import org.damaskmoor.platform.standin.UpstreamStandIn;
import org.damaskmoor.relay.fixture.InProcessRelay;
import org.damaskmoor.relay.fixture.TestFleet;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Tag;
import org.junit.jupiter.api.Test;

/** What requests with large heads cost the event loop, on which all other requests wait. */
class RequestCostTest {
    private static final int REQUESTS = 64;
    private static final int HEAD_BYTES = 16_000;
    private static final int HEADERS_TOO_LARGE = 431;

    /**
     * A megabyte of requests holds up others for less than half a second on a VM with 0.3 of a
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
        fleet.store.putConfiguration(
                ConfigurationJson.of(2, "")
                        .replace("\"maxHeaderBytes\":4096", "\"maxHeaderBytes\":16384"));
        relay = fleet.relay("one", upstream);
        TestFleet.await(() -> status(RawCaller.get("/read/0", "ready")) == 200);
    }

    @AfterEach
    void stop() throws Exception {
        relay.close();
        upstream.close();
        fleet.close();
    }

    /** Guards against a search for a route that copies the path once for each slash in it. */
    @Test
    void should_cost_little_when_a_path_has_many_slashes() throws Exception {
        assertCheap(RawCaller.get("/none" + "/".repeat(HEAD_BYTES), "slashes"), 404);
    }

    @Test
    @Tag("known-red")
    void should_cost_little_when_a_head_has_many_fields() throws Exception {
        assertCheap(RawCaller.get("/none/1", "fields", "a:\r\n".repeat(HEAD_BYTES / 4)), 404);
    }

    @Test
    void should_cost_little_when_a_head_names_many_hop_by_hop_fields() throws Exception {
        String names = "a,".repeat(HEAD_BYTES / 2);
        assertCheap(RawCaller.get("/none/1", "names", "Connection: " + names + "\r\n"), 404);
    }

    /** Guards against fields that are copied once for each line that continues them. */
    @Test
    void should_cost_little_when_a_head_has_many_folded_lines() throws Exception {
        String lines = "Name: value\r\n" + " a\r\n".repeat(HEAD_BYTES / 4 - 200);
        assertCheap(RawCaller.get("/none/1", "folded", lines), HEADERS_TOO_LARGE);
    }

    private void assertCheap(String request, int expectedStatus) throws Exception {
        // given
        status(request);
        long before = relay.eventLoopProcessorTime();

        // when
        for (int i = 0; i < REQUESTS; i++) {
            assertThat(status(request)).isEqualTo(expectedStatus);
        }

        // then
        double milliseconds = (relay.eventLoopProcessorTime() - before) / 1e6;
        assertThat(milliseconds).isLessThan(MAX_MILLISECONDS);
    }

    private int status(String request) throws Exception {
        try (RawCaller caller = relay.caller()) {
            return caller.exchange(request).status();
        }
    }
}
