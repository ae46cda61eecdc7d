package org.damaskmoor.relay;

import static com.google.common.truth.Truth.assertThat;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.damaskmoor.platform.standin.ConfigurationJson;
import org.damaskmoor.platform.standin.RawCaller;
import org.damaskmoor.platform.standin.StoreStandIn;
import org.damaskmoor.platform.standin.UpstreamStandIn;
import org.damaskmoor.relay.fixture.InProcessRelay;
import org.damaskmoor.relay.fixture.TestFleet;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** A store that returns from an older copy, in which what was written since is missing. */
class RestoredStoreTest {
    /** Time in which a change must be in force, and in which a lost record must be back. */
    private static final long IN_FORCE_MILLISECONDS = 2500;

    /** Time after which a node that has just joined waits for changes like the others. */
    private static final long JOINED_MILLISECONDS = 3500;

    private TestFleet fleet;
    private UpstreamStandIn upstream;
    private UpstreamStandIn unused;
    private InProcessRelay entry;

    @BeforeEach
    void start() throws Exception {
        fleet = new TestFleet();
        upstream = new UpstreamStandIn();
        unused = new UpstreamStandIn();
        entry = new InProcessRelay("entry", "other", unused.address(), fleet.store.address());
        TestFleet.await(entry::isReady);
        TestFleet.await(() -> entry.announce("u-1", 100, 1, "ready") == 200);
        TestFleet.await(() -> fleet.store.containsRow("members", "entry"));
    }

    @AfterEach
    void stop() throws Exception {
        entry.close();
        upstream.close();
        unused.close();
        fleet.close();
    }

    @Test
    void should_apply_a_change_whose_version_was_given_out_before_the_restore() throws Exception {
        // given
        Thread.sleep(JOINED_MILLISECONDS);
        StoreStandIn.Copy copy = fleet.store.copy();
        writeOtherRows(40);
        fleet.store.putConfiguration(configuration(2));
        TestFleet.await(() -> status(entry, "/v2/1") == 503);

        // when
        fleet.store.restore(copy);
        fleet.store.putConfiguration(configuration(3));
        writeOtherRows(60);
        Thread.sleep(IN_FORCE_MILLISECONDS);

        // then
        assertThat(status(entry, "/v3/1")).isEqualTo(503);
    }

    @Test
    void should_write_records_again_that_the_store_has_lost() throws Exception {
        // given
        StoreStandIn.Copy copy = fleet.store.copy();
        try (InProcessRelay first = joined("first");
                InProcessRelay second = joined("second")) {
            Thread.sleep(JOINED_MILLISECONDS);

            // when
            restoreAfterOutage(copy);
            Thread.sleep(IN_FORCE_MILLISECONDS);

            // then
            assertThat(fleet.store.containsRow("members", "first")).isTrue();
            assertThat(fleet.store.containsRow("members", "second")).isTrue();
            assertThat(status(first, "/read/1")).isEqualTo(200);
            assertThat(status(second, "/read/1")).isEqualTo(200);
        }
    }

    @Test
    void should_neither_forget_a_live_node_nor_cut_its_calls_when_the_store_has_lost_its_record()
            throws Exception {
        // given
        StoreStandIn.Copy copy = fleet.store.copy();
        upstream.setScript(
                (request, connection) -> {
                    Thread.sleep(1500);
                    UpstreamStandIn.answerOk(request, connection);
                });
        try (InProcessRelay target = joined("target")) {
            TestFleet.await(() -> entry.log().contains("event=member-added node=target"));
            Thread.sleep(JOINED_MILLISECONDS);

            // when
            CompletableFuture<Integer> running =
                    CompletableFuture.supplyAsync(() -> post(entry, "/order/1"));
            Thread.sleep(300);
            fleet.store.restore(copy);

            // then
            assertThat(running.get(5, TimeUnit.SECONDS)).isEqualTo(200);
            assertThat(entry.log()).doesNotContain("event=member-removed node=target");
            assertThat(target.log()).contains("event=record-written");
        }
    }

    @Test
    void should_remove_the_record_of_a_node_that_leaves_after_the_restore() throws Exception {
        // given
        try (InProcessRelay target = joined("target")) {
            StoreStandIn.Copy copy = fleet.store.copy();
            target.announce("i-2", 200, 1, "ready", 5);
            TestFleet.await(() -> target.log().split("event=record-written", -1).length == 3);

            // when
            fleet.store.restore(copy);
            target.post("/v1/Instances.Deregister/i-2", "{\"born\":200}");
            target.stop().get(5, TimeUnit.SECONDS);

            // then
            assertThat(fleet.store.containsRow("members", "target")).isFalse();
        }
    }

    @Test
    void should_not_take_back_a_node_that_left_before_the_restore() throws Exception {
        // given
        StoreStandIn.Copy copy;
        try (InProcessRelay target = joined("target")) {
            TestFleet.await(() -> entry.log().contains("event=member-added node=target"));
            Thread.sleep(JOINED_MILLISECONDS);
            copy = fleet.store.copy();
            target.post("/v1/Instances.Deregister/i-1", "{\"born\":100}");
            target.stop().get(5, TimeUnit.SECONDS);
            TestFleet.await(() -> entry.log().contains("event=member-removed node=target"));
        }

        // when
        restoreAfterOutage(copy);
        Thread.sleep(IN_FORCE_MILLISECONDS);

        // then
        assertThat(entry.log().split("event=member-added node=target", -1)).hasLength(2);
        TestFleet.await(() -> !fleet.store.containsRow("members", "target"));
    }

    @Test
    void should_write_a_departure_again_that_the_store_has_lost() throws Exception {
        // given
        try (InProcessRelay target = joined("target")) {
            StoreStandIn.Copy copy = fleet.store.copy();
            target.post("/v1/Instances.Deregister/i-1", "{\"born\":100}");
            TestFleet.await(() -> fleet.store.containsRow("members", "departed/target"));

            // when
            restoreAfterOutage(copy);

            // then
            TestFleet.await(() -> fleet.store.containsRow("members", "departed/target"));
        }
    }

    private InProcessRelay joined(String name) throws Exception {
        InProcessRelay relay = fleet.relay(name, upstream);
        TestFleet.await(() -> fleet.store.containsRow("members", name));
        return relay;
    }

    private void restoreAfterOutage(StoreStandIn.Copy copy) throws Exception {
        fleet.store.setMode(StoreStandIn.Mode.UNAVAILABLE);
        Thread.sleep(500);
        fleet.store.restore(copy);
        fleet.store.setMode(StoreStandIn.Mode.NORMAL);
    }

    private void writeOtherRows(int rows) {
        for (int i = 0; i < rows; i++) {
            fleet.store.putRow("others", "row-" + i, new byte[] {1});
        }
    }

    /** A configuration whose last route is that of its version. */
    private static String configuration(int version) {
        StringBuilder routes = new StringBuilder();
        for (int i = 2; i <= version; i++) {
            routes.append(',')
                    .append(ConfigurationJson.route("v" + i, "/v" + i + "/", "idempotent"));
        }
        return ConfigurationJson.of(version, routes.toString());
    }

    private static int status(InProcessRelay relay, String path) throws Exception {
        try (RawCaller caller = relay.caller()) {
            return caller.exchange(RawCaller.get(path, "r-" + System.nanoTime())).status();
        }
    }

    private static int post(InProcessRelay relay, String path) {
        try (RawCaller caller = relay.caller()) {
            String id = "r-" + System.nanoTime();
            return caller.exchange(RawCaller.post(path, id, "body")).status();
        } catch (IOException failure) {
            throw new UncheckedIOException(failure);
        }
    }
}
