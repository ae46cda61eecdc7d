package org.damaskmoor.relay;

import static com.google.common.truth.Truth.assertThat;

import java.util.ArrayList;
import java.util.List;
import org.damaskmoor.platform.standin.ConfigurationJson;
import org.damaskmoor.platform.standin.RawCaller;
import org.damaskmoor.platform.standin.StoreStandIn;
import org.damaskmoor.platform.standin.UpstreamStandIn;
import org.damaskmoor.relay.fixture.InProcessRelay;
import org.damaskmoor.relay.fixture.TestFleet;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Relays of one data centre, of which one reads the store for the others. */
class StoreReaderCoordinatorTest {
    private static final int RELAYS = 6;
    private static final int CHANGES = 3;

    /** Longer than the poll delay of a reader, so that it reads each change with its own call. */
    private static final long BETWEEN_CHANGES_MILLISECONDS = 1000;

    /**
     * Store calls of a starting node: both tables are read and watched, its record is written, and
     * delays end with another call.
     */
    private static final int STORE_CALLS_PER_START = 7;

    private static final String ADDED_ROUTE =
            "," + ConfigurationJson.route("more", "/more/", "idempotent");

    /** Longest time from the change in the store until it is in force at all nodes. */
    private static final long IN_FORCE_MILLISECONDS = 2500;

    private final List<InProcessRelay> relays = new ArrayList<>();
    private TestFleet fleet;
    private UpstreamStandIn upstream;

    @BeforeEach
    void start() throws Exception {
        fleet = new TestFleet();
        upstream = new UpstreamStandIn();
        for (int i = 0; i < RELAYS; i++) {
            relays.add(fleet.relay("relay-" + i, upstream));
        }
        for (InProcessRelay relay : relays) {
            TestFleet.await(() -> members(relay) == RELAYS - 1);
        }
        TestFleet.await(
                () -> relays.stream().filter(StoreReaderCoordinatorTest::isReader).count() == 1);
        TestFleet.await(
                () -> relays.stream().allMatch(relay -> isReader(relay) || isInformed(relay)));
    }

    @AfterEach
    void stop() throws Exception {
        for (InProcessRelay relay : relays) {
            relay.close();
        }
        upstream.close();
        fleet.close();
    }

    @Test
    void should_get_new_members_from_the_reader() throws Exception {
        // given
        int before = fleet.store.callCount();

        // when
        List<InProcessRelay> joined = new ArrayList<>();
        for (int i = 0; i < CHANGES; i++) {
            joined.add(fleet.relay("joined-" + i, upstream));
            Thread.sleep(BETWEEN_CHANGES_MILLISECONDS);
        }

        // then
        for (InProcessRelay relay : relays) {
            TestFleet.await(() -> members(relay) == RELAYS - 1 + CHANGES);
        }
        long ownCalls = CHANGES * STORE_CALLS_PER_START;
        assertThat(fleet.store.callCount() - before - ownCalls).isLessThan(CHANGES * RELAYS);
        for (InProcessRelay relay : joined) {
            relay.close();
        }
    }

    @Test
    void should_apply_a_change_in_time_when_the_reader_is_killed() throws Exception {
        // given
        InProcessRelay reader =
                relays.stream()
                        .filter(StoreReaderCoordinatorTest::isReader)
                        .findFirst()
                        .orElseThrow();
        reader.kill();

        // when
        fleet.store.putConfiguration(ConfigurationJson.of(7, ADDED_ROUTE));
        long changed = System.nanoTime();

        // then
        for (InProcessRelay relay : relays) {
            if (relay != reader) {
                TestFleet.await(() -> hasNewRoute(relay));
            }
        }
        long milliseconds = (System.nanoTime() - changed) / 1_000_000;
        assertThat(milliseconds).isLessThan(IN_FORCE_MILLISECONDS);
    }

    @Test
    void should_poll_the_store_when_the_reader_finds_it_available_again() throws Exception {
        // given
        fleet.store.setMode(StoreStandIn.Mode.UNAVAILABLE);
        for (InProcessRelay relay : relays) {
            TestFleet.await(() -> relay.log().contains("event=store-lost"));
        }

        // when
        fleet.store.setMode(StoreStandIn.Mode.NORMAL);
        fleet.store.putConfiguration(ConfigurationJson.of(7, ADDED_ROUTE));

        // then
        for (InProcessRelay relay : relays) {
            TestFleet.await(() -> hasNewRoute(relay));
        }
    }

    private static boolean hasNewRoute(InProcessRelay relay) throws Exception {
        try (RawCaller caller = relay.caller()) {
            return caller.exchange(RawCaller.get("/more/1", "r1")).status() != 404;
        }
    }

    private static long members(InProcessRelay relay) {
        return relay.log().lines().filter(line -> line.contains("event=member-added")).count();
    }

    private static boolean isReader(InProcessRelay relay) {
        int last = relay.log().lastIndexOf("event=store-reader");
        return last >= 0 && relay.log().startsWith("event=store-reader reads=true", last);
    }

    /** Whether the node gets members from a reader instead of polling the store. */
    private static boolean isInformed(InProcessRelay relay) {
        return relay.log().contains("event=store-informed");
    }
}
