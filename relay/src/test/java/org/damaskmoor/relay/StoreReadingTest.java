package org.damaskmoor.relay;

import static com.google.common.truth.Truth.assertThat;

import java.util.ArrayList;
import java.util.List;
import org.damaskmoor.platform.standin.ConfigurationText;
import org.damaskmoor.platform.standin.RawCaller;
import org.damaskmoor.platform.standin.StoreStandIn;
import org.damaskmoor.platform.standin.UpstreamStandIn;
import org.damaskmoor.relay.fixture.Fleet;
import org.damaskmoor.relay.fixture.RelayUnderTest;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Relays of one data centre that leave reading the store to one of them. */
class StoreReadingTest {
    private static final int RELAYS = 6;
    private static final int CHANGES = 3;

    /** Longer than a node rests that asks by itself. */
    private static final long BETWEEN_CHANGES_MILLISECONDS = 1000;

    /** Both tables read and waited for, the own record written, and a rest that ends. */
    private static final int CALLS_OF_A_START = 7;

    private static final String MORE =
            "," + ConfigurationText.route("more", "/more/", "idempotent");

    /** A configuration is to be in force this long after the store has it. */
    private static final long IN_FORCE_MILLISECONDS = 2500;

    private final List<RelayUnderTest> relays = new ArrayList<>();
    private Fleet fleet;
    private UpstreamStandIn upstream;

    @BeforeEach
    void start() throws Exception {
        fleet = new Fleet();
        upstream = new UpstreamStandIn();
        for (int i = 0; i < RELAYS; i++) {
            relays.add(fleet.relay("relay-" + i, upstream));
        }
        for (RelayUnderTest relay : relays) {
            Fleet.await(() -> members(relay) == RELAYS - 1);
        }
        Fleet.await(() -> relays.stream().filter(StoreReadingTest::reads).count() == 1);
        Fleet.await(() -> relays.stream().allMatch(relay -> reads(relay) || isResting(relay)));
    }

    @AfterEach
    void stop() throws Exception {
        for (RelayUnderTest relay : relays) {
            relay.close();
        }
        upstream.close();
        fleet.close();
    }

    @Test
    void should_learn_of_new_members_from_the_reader() throws Exception {
        // given
        int before = fleet.store.calls();

        // when
        List<RelayUnderTest> joined = new ArrayList<>();
        for (int i = 0; i < CHANGES; i++) {
            joined.add(fleet.relay("joined-" + i, upstream));
            Thread.sleep(BETWEEN_CHANGES_MILLISECONDS);
        }

        // then
        for (RelayUnderTest relay : relays) {
            Fleet.await(() -> members(relay) == RELAYS - 1 + CHANGES);
        }
        long ownCalls = CHANGES * CALLS_OF_A_START;
        assertThat(fleet.store.calls() - before - ownCalls).isLessThan(CHANGES * RELAYS);
        for (RelayUnderTest relay : joined) {
            relay.close();
        }
    }

    @Test
    void should_put_a_change_in_force_in_time_when_the_reader_is_gone() throws Exception {
        // given
        RelayUnderTest reader =
                relays.stream().filter(StoreReadingTest::reads).findFirst().orElseThrow();
        reader.kill();

        // when
        fleet.store.configure(ConfigurationText.of(7, MORE));
        long changed = System.nanoTime();

        // then
        for (RelayUnderTest relay : relays) {
            if (relay != reader) {
                Fleet.await(() -> hasNewRoute(relay));
            }
        }
        long milliseconds = (System.nanoTime() - changed) / 1_000_000;
        assertThat(milliseconds).isLessThan(IN_FORCE_MILLISECONDS);
    }

    @Test
    void should_learn_that_the_store_is_back_from_the_reader() throws Exception {
        // given
        fleet.store.mode(StoreStandIn.Mode.UNAVAILABLE);
        for (RelayUnderTest relay : relays) {
            Fleet.await(() -> relay.log().contains("event=store-lost"));
        }

        // when
        fleet.store.mode(StoreStandIn.Mode.NORMAL);
        fleet.store.configure(ConfigurationText.of(7, MORE));

        // then
        for (RelayUnderTest relay : relays) {
            Fleet.await(() -> hasNewRoute(relay));
        }
    }

    private static boolean hasNewRoute(RelayUnderTest relay) throws Exception {
        try (RawCaller caller = relay.caller()) {
            return caller.ask(RawCaller.get("/more/1", "r1")).status() != 404;
        }
    }

    private static long members(RelayUnderTest relay) {
        return relay.log().lines().filter(line -> line.contains("event=member-added")).count();
    }

    private static boolean reads(RelayUnderTest relay) {
        int last = relay.log().lastIndexOf("event=store-reader");
        return last >= 0 && relay.log().startsWith("event=store-reader reads=true", last);
    }

    /** Whether it no longer waits for changes at the store by itself. */
    private static boolean isResting(RelayUnderTest relay) {
        return relay.log().contains("event=store-informed");
    }
}
