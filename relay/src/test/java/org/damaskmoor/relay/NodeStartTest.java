package org.damaskmoor.relay;

import static com.google.common.truth.Truth.assertThat;

import java.util.ArrayList;
import java.util.List;
import org.damaskmoor.platform.standin.ConfigurationJson;
import org.damaskmoor.platform.standin.RawCaller;
import org.damaskmoor.platform.standin.UpstreamStandIn;
import org.damaskmoor.relay.fixture.InProcessRelay;
import org.damaskmoor.relay.fixture.TestFleet;
import org.junit.jupiter.api.Test;

/** Nodes of a new fleet, which start at the same time and are not in the members table yet. */
class NodeStartTest {
    private static final int RELAYS = 3;

    /** Longest time from the change in the store until it is in force at all nodes. */
    private static final long IN_FORCE_MILLISECONDS = 2500;

    @Test
    void should_apply_in_time_a_configuration_that_is_stored_right_after_the_start()
            throws Exception {
        List<InProcessRelay> relays = new ArrayList<>();
        try (TestFleet fleet = new TestFleet();
                UpstreamStandIn upstream = new UpstreamStandIn()) {
            // given
            for (int i = 0; i < RELAYS; i++) {
                relays.add(fleet.relay("relay-" + i, upstream));
            }

            // when
            String route = "," + ConfigurationJson.route("more", "/more/", "idempotent");
            fleet.store.putConfiguration(ConfigurationJson.of(2, route));
            long changed = System.nanoTime();

            // then
            for (InProcessRelay relay : relays) {
                TestFleet.await(() -> hasNewRoute(relay));
            }
            long milliseconds = (System.nanoTime() - changed) / 1_000_000;
            assertThat(milliseconds).isLessThan(IN_FORCE_MILLISECONDS);
        } finally {
            for (InProcessRelay relay : relays) {
                relay.close();
            }
        }
    }

    private static boolean hasNewRoute(InProcessRelay relay) throws Exception {
        try (RawCaller caller = relay.caller()) {
            return caller.exchange(RawCaller.get("/more/1", "r1")).status() != 404;
        }
    }
}
