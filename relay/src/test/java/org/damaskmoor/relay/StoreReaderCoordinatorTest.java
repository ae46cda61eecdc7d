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

/** Relays of one data centre that leave reading the store to one of them. */
class StoreReaderCoordinatorTest {
    private static final int RELAYS = 6;
    private static final int CHANGES = 3;

    /** Longer than a node rests that asks by itself. */
    private static final long BETWEEN_CHANGES_MILLISECONDS = 1000;

    /** Both tables read and waited for, the own record written, and a rest that ends. */
    private static final int CALLS_OF_A_START = 7;

    private static final String MORE =
            "," + ConfigurationJson.route("more", "/more/", "idempotent");

    /** A configuration is to be in force this long after the store has it. */
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
                () -> relays.stream().filter(StoreReaderCoordinatorTest::reads).count() == 1);
        TestFleet.await(() -> relays.stream().allMatch(relay -> reads(relay) || isResting(relay)));
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
    void should_learn_of_new_members_from_the_reader() throws Exception {
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
        long ownCalls = CHANGES * CALLS_OF_A_START;
        assertThat(fleet.store.callCount() - before - ownCalls).isLessThan(CHANGES * RELAYS);
        for (InProcessRelay relay : joined) {
            relay.close();
        }
    }

    @Test
    void should_put_a_change_in_force_in_time_when_the_reader_is_gone() throws Exception {
        // given
        InProcessRelay reader =
                relays.stream().filter(StoreReaderCoordinatorTest::reads).findFirst().orElseThrow();
        reader.kill();

        // when
        fleet.store.putConfiguration(ConfigurationJson.of(7, MORE));
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
    void should_learn_that_the_store_is_back_from_the_reader() throws Exception {
        // given
        fleet.store.setMode(StoreStandIn.Mode.UNAVAILABLE);
        for (InProcessRelay relay : relays) {
            TestFleet.await(() -> relay.log().contains("event=store-lost"));
        }

        // when
        fleet.store.setMode(StoreStandIn.Mode.NORMAL);
        fleet.store.putConfiguration(ConfigurationJson.of(7, MORE));

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

    private static boolean reads(InProcessRelay relay) {
        int last = relay.log().lastIndexOf("event=store-reader");
        return last >= 0 && relay.log().startsWith("event=store-reader reads=true", last);
    }

    /** Whether it no longer waits for changes at the store by itself. */
    private static boolean isResting(InProcessRelay relay) {
        return relay.log().contains("event=store-informed");
    }
}
