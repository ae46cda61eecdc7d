package org.damaskmoor.relay;

import static com.google.common.truth.Truth.assertThat;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.concurrent.TimeUnit;
import org.damaskmoor.platform.standin.ConfigurationJson;
import org.damaskmoor.platform.standin.RawCaller;
import org.damaskmoor.platform.standin.StoreStandIn;
import org.damaskmoor.platform.standin.UpstreamStandIn;
import org.damaskmoor.relay.fixture.CuttableLink;
import org.damaskmoor.relay.fixture.InProcessRelay;
import org.damaskmoor.relay.fixture.TestFleet;
import org.damaskmoor.relay.internal.net.LoopbackAddresses;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Relays that admit requests with keys only with proof that their configuration is fresh. */
class KeyRevocationTest {
    private static final String KEY = "a-key-of-the-shop";
    private static final String OTHER_KEY = "a-key-of-the-bank";
    private static final long TIMEOUT_MILLISECONDS = 4000;
    private static final String PUBLIC_ROUTE =
            "," + ConfigurationJson.publicRoute("open", "/open/", "idempotent");

    private final List<InProcessRelay> relays = new ArrayList<>();
    private final List<CuttableLink> links = new ArrayList<>();
    private TestFleet fleet;
    private UpstreamStandIn upstream;
    private UpstreamStandIn unused;
    private int version = 1;

    @BeforeEach
    void start() throws Exception {
        fleet = new TestFleet();
        upstream = new UpstreamStandIn();
        unused = new UpstreamStandIn();
        configure(KEY, OTHER_KEY);
    }

    @AfterEach
    void stop() throws Exception {
        for (InProcessRelay relay : relays) {
            relay.close();
        }
        for (CuttableLink link : links) {
            link.close();
        }
        upstream.close();
        unused.close();
        fleet.close();
    }

    /** Guards against 503 at nodes that wait for a change while nothing changes. */
    @Test
    void should_serve_keys_for_long_while_nothing_changes() throws Exception {
        // given
        InProcessRelay first = relay("relay-1", fleet.store.address());
        InProcessRelay second = relay("relay-2", fleet.store.address());
        awaitServed(first);
        awaitServed(second);

        // then
        assertAlwaysServed(List.of(first, second), 2 * TIMEOUT_MILLISECONDS);
    }

    /** Guards against a removed key that a node without news of the store goes on to admit. */
    @Test
    void should_refuse_all_keys_once_the_store_has_been_away_for_the_timeout() throws Exception {
        // given
        InProcessRelay relay = relay("relay", fleet.store.address());
        awaitServed(relay);

        // when
        fleet.store.setMode(StoreStandIn.Mode.UNAVAILABLE);
        long lost = System.nanoTime();
        TestFleet.await(() -> answer(relay, "/read/1", KEY).status() == 503);
        long servedMilliseconds = (System.nanoTime() - lost) / 1_000_000;

        // then
        assertThat(servedMilliseconds).isAtLeast((long) (0.4 * TIMEOUT_MILLISECONDS));
        assertThat(servedMilliseconds).isLessThan(TIMEOUT_MILLISECONDS);
        for (String key : List.of(KEY, "unknown")) {
            RawCaller.Answer refused = answer(relay, "/read/1", key);
            assertThat(refused.status()).isEqualTo(503);
            double retryAfter = Double.parseDouble(refused.headers().get("retry-after"));
            assertThat(retryAfter).isAtLeast(0.5);
            assertThat(retryAfter).isAtMost(1.0);
        }
        assertThat(answer(relay, "/open/1", KEY).status()).isEqualTo(200);
        TestFleet.await(() -> relay.log().contains("reason=no-freshness-proof"));
        assertThat(relay.log()).doesNotContain(KEY);

        // when
        fleet.store.setMode(StoreStandIn.Mode.NORMAL);
        long returned = System.nanoTime();
        awaitServed(relay);

        // then
        assertThat(System.nanoTime() - returned).isLessThan(TimeUnit.SECONDS.toNanos(2));
    }

    /** Guards against a proof of freshness that ends because no tenant is left. */
    @Test
    void should_go_on_to_prove_freshness_when_the_list_of_tenants_is_empty() throws Exception {
        // given
        InProcessRelay relay = relay("relay", fleet.store.address());
        awaitServed(relay);

        // when
        configureNoTenants();
        TestFleet.await(() -> answer(relay, "/read/1", KEY).status() == 401);
        fleet.store.setMode(StoreStandIn.Mode.UNAVAILABLE);
        TestFleet.await(() -> answer(relay, "/read/1", KEY).status() == 503);
        fleet.store.setMode(StoreStandIn.Mode.NORMAL);

        // then
        TestFleet.await(() -> answer(relay, "/read/1", KEY).status() == 401);
    }

    /** Guards against keys that run at a node that has started after their list was removed. */
    @Test
    void should_refuse_keys_when_the_list_of_tenants_was_removed_before_the_start()
            throws Exception {
        // given
        version++;
        fleet.store.putConfiguration(ConfigurationJson.of(version, PUBLIC_ROUTE));

        // when
        InProcessRelay relay = relay("relay", fleet.store.address());
        TestFleet.await(() -> answerWithoutKey(relay, "/read/1").status() == 200);

        // then
        assertThat(answer(relay, "/read/2", KEY).status()).isEqualTo(401);
    }

    /** Guards against 503 at a node that only hears from others that its configuration is fresh. */
    @Test
    void should_serve_keys_at_a_node_that_the_store_refuses_while_others_are_served()
            throws Exception {
        // given
        for (int i = 0; i < 3; i++) {
            relay("served-" + i, fleet.store.address());
        }
        List<InProcessRelay> refused = new ArrayList<>();
        for (int i = 0; i < 3; i++) {
            refused.add(relay("refused-" + i, fleet.store.refusingAddress()));
        }
        for (InProcessRelay relay : relays) {
            awaitServed(relay);
            TestFleet.await(() -> relay.log().split("event=member-added", -1).length > 5);
        }
        Thread.sleep(3500);

        // when
        fleet.store.refuseSome(true);

        // then
        assertAlwaysServed(relays, 3 * TIMEOUT_MILLISECONDS);

        // when
        configure(OTHER_KEY, OTHER_KEY + "-2");
        long removed = System.nanoTime();
        for (InProcessRelay relay : refused) {
            TestFleet.await(() -> answer(relay, "/read/1", KEY).status() != 200);
        }

        // then
        assertThat(System.nanoTime() - removed)
                .isLessThan(TimeUnit.MILLISECONDS.toNanos(TIMEOUT_MILLISECONDS));
    }

    /** Guards against 503 for all callers because an operator wrote an invalid configuration. */
    @Test
    void should_go_on_to_serve_keys_when_the_newest_configuration_is_invalid() throws Exception {
        // given
        InProcessRelay relay = relay("relay", fleet.store.address());
        awaitServed(relay);

        // when
        configure(KEY, KEY);
        TestFleet.await(() -> relay.log().contains("event=configuration-rejected"));

        // then
        assertAlwaysServed(List.of(relay), 2 * TIMEOUT_MILLISECONDS);
    }

    @Test
    void should_serve_keys_again_soon_when_the_store_returns_from_an_older_copy() throws Exception {
        // given
        InProcessRelay first = relay("relay-1", fleet.store.address());
        InProcessRelay second = relay("relay-2", fleet.store.address());
        awaitServed(first);
        awaitServed(second);
        StoreStandIn.Copy copy = fleet.store.copy();
        configure(OTHER_KEY, KEY);

        // when
        fleet.store.restore(copy);
        Thread.sleep(3000);

        // then
        assertAlwaysServed(List.of(first, second), 2 * TIMEOUT_MILLISECONDS);
    }

    /**
     * Guards against a second attempt without a tenant, and against keys on the way to a target.
     */
    @Test
    void should_keep_the_tenant_in_a_second_attempt_and_send_no_key_to_other_nodes()
            throws Exception {
        // given
        UpstreamStandIn second = new UpstreamStandIn();
        InProcessRelay entry =
                add(
                        new InProcessRelay(
                                "entry",
                                "other",
                                unused.address(),
                                fleet.store.address(),
                                OptionalLong.of(TIMEOUT_MILLISECONDS)));
        for (UpstreamStandIn books : List.of(upstream, second)) {
            books.setScript(
                    (request, connection) -> {
                        if (upstream.requests().size() + second.requests().size() == 1) {
                            connection.reset();
                        } else {
                            UpstreamStandIn.answerOk(request, connection);
                        }
                    });
        }
        target("target-1", upstream, "u-1");
        target("target-2", second, "u-2");
        TestFleet.await(() -> entry.log().split("event=member-added", -1).length > 2);
        TestFleet.await(() -> answer(entry, "/none/1", KEY).status() == 404);

        // when
        TestFleet.await(() -> answer(entry, "/read/1", KEY).status() == 200);

        // then
        List<UpstreamStandIn.Request> received = new ArrayList<>(upstream.requests());
        received.addAll(second.requests());
        assertThat(received.size()).isAtLeast(2);
        for (UpstreamStandIn.Request request : received) {
            assertThat(request.headers()).containsEntry("tenant", "shop");
            assertThat(request.headers()).doesNotContainKey("authorization");
        }
        StringBuilder frames = new StringBuilder();
        links.forEach(link -> frames.append(link.sent()));
        assertThat(frames.toString()).contains("/read/1");
        assertThat(frames.toString()).doesNotContain(KEY);
        second.close();
    }

    private void target(String name, UpstreamStandIn books, String upstreamId) throws Exception {
        InetSocketAddress address = LoopbackAddresses.next();
        CuttableLink link = new CuttableLink(address);
        links.add(link);
        InProcessRelay relay =
                add(
                        new InProcessRelay(
                                name,
                                "books",
                                books.address(),
                                fleet.store.address(),
                                address,
                                Optional.of(link.address()),
                                OptionalLong.of(TIMEOUT_MILLISECONDS)));
        relay.announce(upstreamId, 100, 1, "ready");
    }

    private InProcessRelay relay(String name, InetSocketAddress store) throws Exception {
        InProcessRelay relay =
                add(
                        new InProcessRelay(
                                name,
                                "books",
                                upstream.address(),
                                store,
                                OptionalLong.of(TIMEOUT_MILLISECONDS)));
        relay.announce("i-1", 100, 1, "ready");
        return relay;
    }

    private InProcessRelay add(InProcessRelay relay) throws Exception {
        relays.add(relay);
        TestFleet.await(relay::isReady);
        return relay;
    }

    private void configure(String shopKey, String bankKey) {
        version++;
        fleet.store.putConfiguration(
                ConfigurationJson.withTenants(
                        ConfigurationJson.of(version, PUBLIC_ROUTE),
                        ConfigurationJson.tenant("shop", shopKey),
                        ConfigurationJson.tenant("bank", bankKey)));
    }

    private void configureNoTenants() {
        version++;
        fleet.store.putConfiguration(
                ConfigurationJson.withTenants(ConfigurationJson.of(version, PUBLIC_ROUTE)));
    }

    private static void awaitServed(InProcessRelay relay) throws Exception {
        TestFleet.await(() -> answer(relay, "/read/0", KEY).status() == 200);
    }

    private static void assertAlwaysServed(List<InProcessRelay> relays, long milliseconds)
            throws Exception {
        long end = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(milliseconds);
        while (System.nanoTime() < end) {
            for (InProcessRelay relay : relays) {
                assertThat(answer(relay, "/read/2", KEY).status()).isEqualTo(200);
            }
            Thread.sleep(50);
        }
    }

    private static RawCaller.Answer answer(InProcessRelay relay, String path, String key)
            throws Exception {
        return exchange(relay, path, "Authorization: Bearer " + key + "\r\n");
    }

    private static RawCaller.Answer answerWithoutKey(InProcessRelay relay, String path)
            throws Exception {
        return exchange(relay, path, "");
    }

    private static RawCaller.Answer exchange(InProcessRelay relay, String path, String headers)
            throws Exception {
        try (RawCaller caller = relay.caller()) {
            return caller.exchange(RawCaller.get(path, "r-1", headers));
        }
    }
}
