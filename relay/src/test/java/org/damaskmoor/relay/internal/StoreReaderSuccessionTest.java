package org.damaskmoor.relay.internal;

import static com.google.common.truth.Truth.assertThat;

import com.google.protobuf.ByteString;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import java.util.SplittableRandom;
import org.damaskmoor.core.hash.StableHash;
import org.damaskmoor.core.id.DataCentreName;
import org.damaskmoor.core.id.NodeId;
import org.damaskmoor.core.id.RegionName;
import org.damaskmoor.platform.protocol.StoredRow;
import org.damaskmoor.platform.standin.ConfigurationJson;
import org.damaskmoor.relay.fixture.IdleLink;
import org.damaskmoor.relay.fixture.ManualTimers;
import org.damaskmoor.relay.fixture.SilentLog;
import org.damaskmoor.relay.internal.fleet.ConfigurationHolder;
import org.damaskmoor.relay.internal.fleet.EvacuationHolder;
import org.damaskmoor.relay.internal.fleet.FleetDirectory;
import org.damaskmoor.relay.internal.fleet.LeavingUpstreams;
import org.damaskmoor.relay.internal.fleet.StoreEra;
import org.damaskmoor.relay.internal.log.EventLog;
import org.damaskmoor.relay.internal.revocation.FreshnessTracker;
import org.damaskmoor.schema.link.FleetMember;
import org.damaskmoor.schema.link.FleetRequest;
import org.damaskmoor.schema.link.ReaderSign;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** The third node of a data centre, when the reader leaves while the configuration changes. */
class StoreReaderSuccessionTest {
    private static final long CHECK_MILLISECONDS = 600;

    /** Longest time from a newer version heard of until it is requested. */
    private static final long REQUESTED_MILLISECONDS = 1500;

    private final ManualTimers timers = new ManualTimers();
    private final RecordingWatches watches = new RecordingWatches();
    private final Map<NodeId, RecordingLink> links = new HashMap<>();
    private final List<String> ranked = ranked();
    private final NodeId reader = new NodeId(ranked.get(0));
    private final NodeId successor = new NodeId(ranked.get(1));
    private final NodeId self = new NodeId(ranked.get(2));
    private FleetDirectory fleet;
    private StoreReaderCoordinator coordinator;

    @BeforeEach
    void start() {
        EventLog log = new SilentLog();
        fleet =
                new FleetDirectory(
                        self,
                        new RegionName("home"),
                        new DataCentreName("home-1"),
                        (node, address) -> links.computeIfAbsent(node, key -> new RecordingLink()),
                        timers,
                        log,
                        new LeavingUpstreams(log));
        fleet.addSelf(member(self), new RecordingLink());
        fleet.onSnapshot(List.of(row(reader), row(successor), row(self)));
        ConfigurationHolder configuration =
                new ConfigurationHolder(log, table -> {}, (version, storeTime) -> {});
        configuration.applyIfNewer(text(4), "store");
        coordinator =
                new StoreReaderCoordinator(
                        self,
                        fleet,
                        configuration,
                        new EvacuationHolder(() -> 1, log, evacuated -> {}),
                        new StoreEra(log, () -> {}),
                        watches,
                        freshness(),
                        timers,
                        new SplittableRandom(1),
                        log);
        coordinator.start();
        hearFrom(reader, 4);
        timers.advance(CHECK_MILLISECONDS);
        hearFrom(reader, 4);
    }

    @Test
    void should_request_the_configuration_from_a_node_that_remains() {
        // given
        remove(reader);

        // when
        hearFrom(reader, 8);
        hearFrom(successor, 8);
        timers.advance(REQUESTED_MILLISECONDS);

        // then
        assertThat(links.get(successor).requests).isNotEmpty();
    }

    @Test
    void should_request_the_configuration_from_another_node_when_the_sender_leaves() {
        // given
        hearFrom(reader, 8);

        // when
        remove(reader);
        timers.advance(REQUESTED_MILLISECONDS);

        // then
        assertThat(links.get(successor).requests).isNotEmpty();
    }

    @Test
    void should_wait_for_the_configuration_once_it_is_the_next_in_rank() {
        // given
        int before = watches.configurationPolls;

        // when
        remove(reader);
        hearFrom(successor, 4);
        timers.advance(CHECK_MILLISECONDS);

        // then
        assertThat(watches.configurationPolls).isEqualTo(before + 1);
    }

    private FreshnessTracker freshness() {
        return new FreshnessTracker(
                OptionalLong.empty(), timers, () -> 0, () -> 0, () -> 0, () -> false);
    }

    private void hearFrom(NodeId sender, long version) {
        coordinator.onReaderSign(
                ReaderSign.newBuilder()
                        .setNodeId(sender.value())
                        .setConfigurationVersion(version)
                        .setStoreAnswers(true)
                        .build());
    }

    private void remove(NodeId node) {
        fleet.onChange(new StoredRow(node.value(), ByteString.EMPTY, 2, true));
    }

    private static List<String> ranked() {
        List<String> names = new ArrayList<>(List.of("node-1", "node-2", "node-3"));
        names.sort(Comparator.comparingLong(StableHash::of));
        return names;
    }

    private static StoredRow row(NodeId node) {
        return new StoredRow(node.value(), member(node).toByteString(), 1, false);
    }

    private static FleetMember member(NodeId node) {
        return FleetMember.newBuilder()
                .setNodeId(node.value())
                .setService("books")
                .setAddress("127.0.0.1:9")
                .setDataCentre("home-1")
                .setRegion("home")
                .build();
    }

    private static ByteString text(int version) {
        return ByteString.copyFromUtf8(ConfigurationJson.of(version, ""));
    }

    private static final class RecordingWatches implements StoreWatches {
        int configurationPolls;

        @Override
        public boolean isStoreLost() {
            return false;
        }

        @Override
        public boolean isConfigurationLost() {
            return false;
        }

        @Override
        public boolean wasAnsweredWithin(long milliseconds) {
            return true;
        }

        @Override
        public void pollNow() {}

        @Override
        public void pollConfigurationNow() {
            configurationPolls++;
        }

        @Override
        public void rereadMembers() {}

        @Override
        public void catchUp() {}
    }

    private static final class RecordingLink extends IdleLink {
        final List<FleetRequest> requests = new ArrayList<>();

        @Override
        public void send(FleetRequest request) {
            requests.add(request);
        }
    }
}
