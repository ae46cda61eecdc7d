package org.damaskmoor.core.configuration;

import static com.google.common.truth.Truth.assertThat;

import com.google.protobuf.ByteString;
import java.util.ArrayList;
import java.util.List;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;
import org.damaskmoor.core.configuration.FakeServiceTable.CallOutcome;
import org.damaskmoor.core.configuration.PeerConfigurationTracker.VersionStatus;
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
    private final ConfigurationStore store = new ConfigurationStore(accepted -> {});
    private final ConfigurationRequester requester =
            (peer, services) -> requests.add(peer + services.toString());
    private final ConfigurationPuller puller =
            new ConfigurationPuller(store, requester, table, Runnable::run);
    private final ConfigurationBootstrap bootstrap =
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
    void should_never_decrease_a_version_when_versions_arrive_in_any_order(
            @ForAll @Size(max = 30) List<@IntRange(min = 1, max = 9) Integer> versions) {
        // given
        ConfigurationStore any = new ConfigurationStore(accepted -> {});
        ConfigurationStore direct = new ConfigurationStore(accepted -> {});
        long newest = 0;

        for (int next : versions) {
            // when
            boolean accepted = any.accept(configuration("besuch", next));

            // then
            assertThat(accepted).isEqualTo(next > newest);
            newest = Math.max(newest, next);
            assertThat(any.versionOf("besuch")).isEqualTo(newest);
        }
        direct.accept(configuration("besuch", newest));
        assertThat(any.digest()).isEqualTo(direct.digest());
    }

    @Test
    void should_ask_the_next_peer_and_then_the_table_when_peers_do_not_answer() {
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
    void should_use_the_configurations_of_peers_when_the_table_is_down_at_start() {
        // given
        table.defaultOutcome = CallOutcome.REFUSED;

        // when
        bootstrap.requestAll(List.of(PEER, OTHER), 0);
        puller.onAnswer(PEER, answer("besuch", 4));
        bootstrap.onAnswer(PEER);

        // then
        assertThat(bootstrap.isReady(10)).isFalse();
        puller.onAnswer(OTHER, answer("besuch", 5));
        bootstrap.onAnswer(OTHER);
        assertThat(bootstrap.isReady(20)).isTrue();
        assertThat(store.versionOf("besuch")).isEqualTo(5);
    }

    @Test
    void should_not_be_ready_when_neither_a_peer_nor_the_table_answered() {
        // given
        table.defaultOutcome = CallOutcome.REFUSED;

        // when
        bootstrap.requestAll(List.of(), 0);
        bootstrap.tick(List.of(), 0.5, 60_000);

        // then
        assertThat(bootstrap.isReady(60_000)).isFalse();
    }

    @Test
    void should_find_an_unannounced_change_when_a_table_read_is_due() {
        // given
        bootstrap.requestAll(List.of(), 0);
        bootstrap.tick(List.of(), 0.5, 0);
        table.rows.put("besuch", new Row(configuration("besuch", 1), "tag"));

        // when
        bootstrap.tick(List.of(), 0.5, 6_000);

        // then
        assertThat(store.versionOf("besuch")).isEqualTo(1);
    }

    @Test
    void should_send_all_versions_when_the_digest_of_a_peer_keeps_differing() {
        // given
        List<ConfigurationVersion> sent = new ArrayList<>();
        PeerConfigurationTracker peers = new PeerConfigurationTracker();
        ConfigurationGossip gossip =
                new ConfigurationGossip(
                        store, puller, peers, (peer, all) -> sent.addAll(all), record -> false);
        store.accept(configuration("besuch", 1));
        long previous = store.digest();
        gossip.onConfigurationDigest(PEER, previous, 0);
        store.accept(configuration("register", 1));

        // when
        gossip.onConfigurationDigest(PEER, previous, 100);
        int sentBeforeStable = sent.size();
        gossip.onConfigurationDigest(PEER, previous, 3_000);
        gossip.onConfigurationDigest(PEER, previous, 3_100);

        // then
        assertThat(sentBeforeStable).isEqualTo(0);
        assertThat(sent).hasSize(2);
        assertThat(peers.statusOf(PEER)).isEqualTo(VersionStatus.BEHIND);
        assertThat(peers.statusOf(OTHER)).isEqualTo(VersionStatus.UNKNOWN);
    }
}
