package org.damaskmoor.core.configuration;

import static com.google.common.truth.Truth.assertThat;

import com.google.protobuf.ByteString;
import java.util.ArrayList;
import java.util.List;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;
import org.damaskmoor.core.configuration.FakeServiceTable.Fate;
import org.damaskmoor.core.configuration.PeerConfigurationTracker.Standing;
import org.damaskmoor.core.configuration.ServiceTable.Row;
import org.damaskmoor.core.id.NodeId;
import org.damaskmoor.schema.configuration.ServiceConfiguration;
import org.damaskmoor.schema.configuration.VersionedConfiguration;
import org.damaskmoor.schema.gossip.ConfigurationVersion;
import org.damaskmoor.schema.mesh.ConfigurationAnswer;
import org.junit.jupiter.api.Test;

class ConfigurationPropagationTest {
    private static final NodeId PEER = new NodeId("besuch-1");
    private static final NodeId OTHER = new NodeId("besuch-2");

    private final FakeServiceTable table = new FakeServiceTable();
    private final List<String> requests = new ArrayList<>();
    private final ConfigurationStore store = new ConfigurationStore(taken -> {});
    private final ConfigurationRequester requester =
            (peer, services) -> requests.add(peer + services.toString());
    private final ConfigurationPuller puller =
            new ConfigurationPuller(store, requester, table, Runnable::run);
    private final ConfigurationBootstrap start =
            new ConfigurationBootstrap(store, requester, table, Runnable::run);

    private static VersionedConfiguration configuration(String service, long version) {
        return VersionedConfiguration.newBuilder()
                .setService(ServiceConfiguration.newBuilder().setName(service))
                .setVersion(version)
                .setDeleted(version % 3 == 0)
                .build();
    }

    private static ConfigurationVersion version(String service, long version) {
        return ConfigurationStore.versionOf(configuration(service, version));
    }

    private static ConfigurationAnswer answer(String service, long version) {
        ByteString text = configuration(service, version).toByteString();
        return ConfigurationAnswer.newBuilder().addConfigurations(text).build();
    }

    @Property(tries = 200, seed = "5")
    void should_never_step_back_when_versions_come_in_any_order(
            @ForAll @Size(max = 30) List<@IntRange(min = 1, max = 9) Integer> versions) {
        // given
        ConfigurationStore any = new ConfigurationStore(taken -> {});
        ConfigurationStore direct = new ConfigurationStore(taken -> {});
        long newest = 0;

        for (int next : versions) {
            // when
            boolean taken = any.accept(configuration("besuch", next));

            // then
            assertThat(taken).isEqualTo(next > newest);
            newest = Math.max(newest, next);
            assertThat(any.versionOf("besuch")).isEqualTo(newest);
        }
        direct.accept(configuration("besuch", newest));
        assertThat(any.digest()).isEqualTo(direct.digest());
    }

    @Test
    void should_ask_the_next_peer_and_then_the_table_when_peers_stay_silent() {
        // given
        puller.onVersionAnnounced(PEER, version("besuch", 4));
        puller.onVersionAnnounced(OTHER, version("besuch", 4));
        table.rows.put("besuch", new Row(configuration("besuch", 4), "tag"));

        // when
        puller.tick(0);
        puller.onFailure(PEER);
        puller.tick(100);
        puller.tick(500);
        assertThat(puller.isWaiting()).isTrue();
        puller.tick(600);

        // then
        assertThat(requests).containsExactly("besuch-1[besuch]", "besuch-2[besuch]").inOrder();
        assertThat(store.versionOf("besuch")).isEqualTo(4);
        assertThat(puller.isWaiting()).isFalse();
    }

    @Test
    void should_serve_what_a_peer_gives_when_the_table_is_down_at_the_start() {
        // given
        table.fate = Fate.REFUSED;

        // when
        start.requestAll(List.of(PEER, OTHER), 0);
        puller.onAnswer(PEER, answer("besuch", 4));
        start.onAnswer(PEER);

        // then
        assertThat(start.isReady(10)).isFalse();
        puller.onAnswer(OTHER, answer("besuch", 5));
        start.onAnswer(OTHER);
        assertThat(start.isReady(20)).isTrue();
        assertThat(store.versionOf("besuch")).isEqualTo(5);
    }

    @Test
    void should_not_be_ready_when_neither_a_peer_nor_the_table_answered() {
        // given
        table.fate = Fate.REFUSED;

        // when
        start.requestAll(List.of(), 0);
        start.tick(List.of(), 0.5, 60_000);

        // then
        assertThat(start.isReady(60_000)).isFalse();
    }

    @Test
    void should_find_a_change_that_nobody_told_when_it_is_the_nodes_turn_to_read() {
        // given
        start.requestAll(List.of(), 0);
        start.tick(List.of(), 0.5, 0);
        table.rows.put("besuch", new Row(configuration("besuch", 1), "tag"));

        // when
        start.tick(List.of(), 0.5, 6_000);

        // then
        assertThat(store.versionOf("besuch")).isEqualTo(1);
    }

    @Test
    void should_tell_all_versions_when_a_peer_stays_different() {
        // given
        List<ConfigurationVersion> told = new ArrayList<>();
        PeerConfigurationTracker peers = new PeerConfigurationTracker();
        ConfigurationGossip gossip =
                new ConfigurationGossip(
                        store, puller, peers, (peer, all) -> told.addAll(all), record -> false);
        store.accept(configuration("besuch", 1));
        long former = store.digest();
        gossip.onConfigurationDigest(PEER, former, 0);
        store.accept(configuration("register", 1));

        // when
        gossip.onConfigurationDigest(PEER, former, 100);
        int toldAtOnce = told.size();
        gossip.onConfigurationDigest(PEER, former, 3_000);
        gossip.onConfigurationDigest(PEER, former, 3_100);

        // then
        assertThat(toldAtOnce).isEqualTo(0);
        assertThat(told).hasSize(2);
        assertThat(peers.statusOf(PEER)).isEqualTo(Standing.BEHIND);
        assertThat(peers.statusOf(OTHER)).isEqualTo(Standing.UNKNOWN);
    }
}
