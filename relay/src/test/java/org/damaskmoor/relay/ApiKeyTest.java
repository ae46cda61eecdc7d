package org.damaskmoor.relay;

import static com.google.common.truth.Truth.assertThat;

import java.util.List;
import org.damaskmoor.platform.standin.ConfigurationJson;
import org.damaskmoor.platform.standin.RawCaller;
import org.damaskmoor.platform.standin.UpstreamStandIn;
import org.damaskmoor.relay.fixture.InProcessRelay;
import org.damaskmoor.relay.fixture.TestFleet;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Requests with and without API keys, at a relay whose upstream is on the same VM. */
class ApiKeyTest {
    private static final String KEY = "a-key-of-the-shop";
    private static final String OTHER_KEY = "a-key-of-the-bank";
    private static final String UNKNOWN_KEY = "a-key-of-nobody";

    private static final String PUBLIC_ROUTE =
            "," + ConfigurationJson.publicRoute("open", "/open/", "idempotent");

    private TestFleet fleet;
    private UpstreamStandIn upstream;
    private InProcessRelay relay;
    private int version = 1;

    @BeforeEach
    void start() throws Exception {
        fleet = new TestFleet();
        upstream = new UpstreamStandIn();
        configure(tenant("shop", KEY), tenant("bank", OTHER_KEY));
        relay = fleet.relay("relay", upstream);
        TestFleet.await(() -> status("/open/0", "") == 200);
    }

    @AfterEach
    void stop() throws Exception {
        relay.close();
        upstream.close();
        fleet.close();
    }

    @Test
    void should_name_the_tenant_to_the_upstream_and_keep_the_key() throws Exception {
        // when
        int status = status("/read/1", bearer(KEY));

        // then
        assertThat(status).isEqualTo(200);
        assertThat(received("/read/1").headers()).containsEntry("tenant", "shop");
        assertThat(received("/read/1").headers()).doesNotContainKey("authorization");
        TestFleet.await(() -> relay.log().contains("tenant=shop"));
    }

    /** Guards against callers that are served without a valid key. */
    @Test
    void should_answer_401_without_a_valid_key_and_keep_the_connection() throws Exception {
        try (RawCaller caller = relay.caller()) {
            for (String headers :
                    List.of(
                            "",
                            bearer(UNKNOWN_KEY),
                            bearer(KEY) + bearer(KEY),
                            bearer(KEY) + bearer(UNKNOWN_KEY),
                            "Authorization: Basic " + KEY + "\r\n",
                            "Authorization: " + KEY + "\r\n",
                            "Authorization: Bearer\r\n",
                            "Proxy-Authorization: Bearer " + KEY + "\r\n",
                            "Connection: Authorization\r\n" + bearer(KEY),
                            bearer("k".repeat(10_000)))) {
                // when
                RawCaller.Answer answer = caller.exchange(RawCaller.get("/read/2", "r-2", headers));

                // then
                assertThat(answer.status()).isEqualTo(401);
                assertThat(answer.headers()).containsEntry("www-authenticate", "Bearer");
            }
            assertThat(caller.exchange(RawCaller.get("/read/3", "r-3", bearer(KEY))).status())
                    .isEqualTo(200);
        }
        assertThat(upstream.requests().stream().filter(r -> r.line().contains("/read/2")))
                .isEmpty();
        TestFleet.await(() -> relay.log().contains("event=request-unauthenticated request=r-2"));
        TestFleet.await(() -> relay.log().contains("reason=duplicated-key"));
        TestFleet.await(() -> relay.log().contains("reason=other-scheme"));
    }

    @Test
    void should_answer_404_without_a_route_whatever_the_key_is() throws Exception {
        assertThat(status("/none/1", "")).isEqualTo(404);
        assertThat(status("/none/1", bearer(KEY))).isEqualTo(404);
    }

    @Test
    void should_serve_a_public_route_with_any_key_or_none() throws Exception {
        // when
        assertThat(status("/open/1", "")).isEqualTo(200);
        assertThat(status("/open/2", bearer(UNKNOWN_KEY))).isEqualTo(200);
        assertThat(status("/open/3", bearer(OTHER_KEY))).isEqualTo(200);

        // then
        assertThat(received("/open/1").headers()).doesNotContainKey("tenant");
        assertThat(received("/open/2").headers()).doesNotContainKey("tenant");
        assertThat(received("/open/2").headers()).doesNotContainKey("authorization");
        assertThat(received("/open/3").headers()).containsEntry("tenant", "bank");
        assertThat(received("/open/3").headers()).doesNotContainKey("authorization");
    }

    /** Guards against a caller that names another tenant than its own. */
    @Test
    void should_remove_a_tenant_that_the_caller_names() throws Exception {
        // when
        status("/open/4", "Tenant: bank\r\n");
        status("/read/4", "tenant: bank\r\nTENANT: bank\r\n" + bearer(KEY));

        // then
        assertThat(received("/open/4").headers()).doesNotContainKey("tenant");
        assertThat(received("/read/4").headers()).containsEntry("tenant", "shop");
    }

    @Test
    void should_forward_both_headers_as_before_without_tenants() throws Exception {
        // given
        configure();
        TestFleet.await(() -> status("/read/0", "") == 200);

        // when
        status("/read/5", "Tenant: own\r\nAuthorization: Basic abc\r\n");

        // then
        assertThat(received("/read/5").headers()).containsEntry("tenant", "own");
        assertThat(received("/read/5").headers()).containsEntry("authorization", "Basic abc");
    }

    @Test
    void should_refuse_a_key_from_the_version_on_that_lacks_it() throws Exception {
        // when
        configure(tenant("shop", UNKNOWN_KEY), tenant("bank", OTHER_KEY));

        // then
        TestFleet.await(() -> status("/read/6", bearer(KEY)) == 401);
        assertThat(status("/read/6", bearer(UNKNOWN_KEY))).isEqualTo(200);
        assertThat(status("/read/6", bearer(OTHER_KEY))).isEqualTo(200);
    }

    /** Guards against keys that are neither checked nor removed once all tenants are removed. */
    @Test
    void should_admit_nobody_when_the_list_of_tenants_is_empty() throws Exception {
        // when
        configureTenants();
        TestFleet.await(
                () -> relay.log().contains("event=configuration-in-force version=" + version));

        // then
        assertThat(status("/read/9", bearer(KEY))).isEqualTo(401);
        assertThat(status("/read/9", bearer(UNKNOWN_KEY))).isEqualTo(401);
        assertThat(status("/read/9", "")).isEqualTo(401);
        assertThat(status("/open/9", "Tenant: bank\r\n" + bearer(KEY))).isEqualTo(200);
        assertThat(received("/open/9").headers()).doesNotContainKey("authorization");
        assertThat(received("/open/9").headers()).doesNotContainKey("tenant");
    }

    /** Guards against removed keys that run, or reach upstreams, because the list is gone. */
    @Test
    void should_refuse_keys_when_the_list_of_tenants_has_been_removed() throws Exception {
        // when
        configure();
        TestFleet.await(() -> status("/read/10", "") == 200);

        // then
        assertThat(status("/read/11", bearer(KEY))).isEqualTo(401);
        assertThat(status("/read/11", "Authorization: Basic abc\r\n" + bearer(KEY))).isEqualTo(401);
        assertThat(status("/read/11", bearer(UNKNOWN_KEY))).isEqualTo(401);
        assertThat(status("/open/11", bearer(KEY))).isEqualTo(200);
        assertThat(received("/open/11").headers()).doesNotContainKey("authorization");
    }

    /** Guards against a part of an invalid configuration in force, or none at all. */
    @Test
    void should_keep_the_configuration_in_force_when_two_tenants_share_a_key() throws Exception {
        // when
        configure(tenant("shop", UNKNOWN_KEY), tenant("bank", UNKNOWN_KEY));
        TestFleet.await(() -> relay.log().contains("event=configuration-rejected"));

        // then
        assertThat(status("/read/7", bearer(KEY))).isEqualTo(200);
        assertThat(status("/read/7", bearer(UNKNOWN_KEY))).isEqualTo(401);
        assertThat(relay.log()).contains("Tenants shop and bank share an API key.");
    }

    @Test
    void should_write_no_key_to_the_log() throws Exception {
        // when
        status("/read/8", bearer(KEY));
        status("/read/8", bearer(UNKNOWN_KEY));
        status("/none/8", bearer(KEY));
        configure(tenant("shop", UNKNOWN_KEY), tenant("bank", UNKNOWN_KEY));
        TestFleet.await(() -> relay.log().contains("event=configuration-rejected"));

        // then
        assertThat(relay.log()).doesNotContain(KEY);
        assertThat(relay.log()).doesNotContain(UNKNOWN_KEY);
        assertThat(relay.log()).doesNotContain(OTHER_KEY);
    }

    private void configure(String... tenants) {
        if (tenants.length > 0) {
            configureTenants(tenants);
        } else {
            fleet.store.putConfiguration(nextConfiguration());
        }
    }

    /** The configuration contains a list of tenants, also if there are none. */
    private void configureTenants(String... tenants) {
        fleet.store.putConfiguration(ConfigurationJson.withTenants(nextConfiguration(), tenants));
    }

    private String nextConfiguration() {
        version++;
        return ConfigurationJson.of(version, PUBLIC_ROUTE)
                .replace("\"maxHeaderBytes\":4096", "\"maxHeaderBytes\":20000");
    }

    private static String tenant(String name, String key) {
        return ConfigurationJson.tenant(name, key);
    }

    private static String bearer(String key) {
        return "Authorization: Bearer " + key + "\r\n";
    }

    private int status(String path, String headers) throws Exception {
        try (RawCaller caller = relay.caller()) {
            return caller.exchange(RawCaller.get(path, "r" + path.replace('/', '-'), headers))
                    .status();
        }
    }

    private UpstreamStandIn.Request received(String path) {
        return upstream.requests().stream()
                .filter(request -> request.line().contains(path))
                .findFirst()
                .orElseThrow();
    }
}
