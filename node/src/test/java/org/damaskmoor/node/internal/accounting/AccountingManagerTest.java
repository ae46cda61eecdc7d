package org.damaskmoor.node.internal.accounting;

import static com.google.common.truth.Truth.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.damaskmoor.core.accounting.RefusalReconciler;
import org.damaskmoor.core.accounting.RefusalSummary;
import org.damaskmoor.core.id.CallerName;
import org.damaskmoor.core.id.DataCentreName;
import org.damaskmoor.core.id.Incarnation;
import org.damaskmoor.core.id.NodeId;
import org.damaskmoor.core.id.RegionName;
import org.damaskmoor.core.id.ServiceName;
import org.damaskmoor.mesh.MeshLink;
import org.damaskmoor.node.internal.entry.Refusal;
import org.damaskmoor.node.internal.eventloop.ManualEventLoop;
import org.damaskmoor.node.internal.members.MemberDirectory;
import org.damaskmoor.schema.accounting.RefusalObject;
import org.damaskmoor.schema.gossip.MemberRecord;
import org.damaskmoor.schema.gossip.MemberState;
import org.damaskmoor.schema.mesh.MeshFrame;
import org.damaskmoor.schema.mesh.RefusalBatch;
import org.damaskmoor.schema.mesh.RefusalBatchStored;
import org.damaskmoor.schema.mesh.RefusalReason;
import org.junit.jupiter.api.Test;

class AccountingManagerTest {
    private static final NodeId SELF = new NodeId("owner");
    private static final Incarnation INCARNATION = new Incarnation(7);
    private static final MemberRecord PEER = member("peer", "west", "west-2");
    private static final int MAILBOX_CAPACITY = 16_384;
    private static final long FLUSH_TIMEOUT_MILLISECONDS = 3_600_000;

    private final ManualEventLoop loop = new ManualEventLoop();
    private final MemberDirectory members = new MemberDirectory();
    private final AccountingPeers peers =
            new AccountingPeers(members, new DataCentreName("west-1"), new RegionName("west"));
    private final List<RefusalBatch> sent = new ArrayList<>();
    private final List<MeshFrame> replies = new ArrayList<>();
    private final List<String> recordedIds = new ArrayList<>();
    private final InMemoryObjectStore store = new InMemoryObjectStore();
    private final AccountingManager accounting =
            new AccountingManager(SELF, INCARNATION, dependencies());

    private AccountingDependencies dependencies() {
        return new AccountingDependencies(
                loop::nanoseconds,
                () -> TimeUnit.NANOSECONDS.toMillis(loop.nanoseconds()),
                loop,
                loop,
                loop.timers(),
                peers,
                (peer, batch) -> sent.add(batch),
                store,
                TimeUnit.MINUTES.toNanos(1),
                new SplittableRandom(1));
    }

    @Test
    void should_call_back_with_id_only_after_peer_stored_refusal() {
        // given
        startWith(PEER);
        refuse();
        loop.advance(3);
        assertThat(sent).hasSize(1);
        assertThat(recordedIds).isEmpty();

        // when
        accounting.onFrame(link("peer"), stored(sent.get(0)));
        loop.run();

        // then
        assertThat(recordedIds).containsExactly("owner/7/1");
        assertThat(flushAndSummarize().gaps()).isEmpty();
    }

    @Test
    void should_call_back_and_count_gap_when_no_peer_stores_refusal() {
        // given
        startWith(PEER);
        refuse();

        // when
        loop.advance(1_000);

        // then
        assertThat(recordedIds).containsExactly("owner/7/1");
        RefusalSummary summary = flushAndSummarize();
        assertThat(summary.total()).isEqualTo(1);
        assertThat(summary.gaps().get(0).count()).isEqualTo(1);
    }

    @Test
    void should_call_back_at_once_and_count_gap_when_mailbox_is_full() {
        // given
        startWith(PEER);
        for (int i = 0; i < MAILBOX_CAPACITY; i++) {
            refuse();
        }
        assertThat(recordedIds).isEmpty();

        // when
        refuse();

        // then
        assertThat(recordedIds).containsExactly("owner/7/" + (MAILBOX_CAPACITY + 1));
        loop.advance(3);
        sent.forEach(batch -> accounting.onFrame(link("peer"), stored(batch)));
        loop.run();
        RefusalSummary summary = flushAndSummarize();
        assertThat(summary.total()).isEqualTo(MAILBOX_CAPACITY + 1);
        assertThat(summary.gaps().get(0).count()).isEqualTo(1);
        assertThat(recordedIds).hasSize(MAILBOX_CAPACITY + 1);
    }

    @Test
    void should_flush_refusals_stored_for_peer_when_peer_dies_or_restarts() {
        for (boolean restarts : new boolean[] {false, true}) {
            // given
            startWith(PEER);
            accounting.onFrame(link("peer"), batchOfPeer());
            loop.run();
            assertThat(replies.get(replies.size() - 1).hasRefusalBatchStored()).isTrue();

            // when
            if (restarts) {
                accounting.onMemberPresent(PEER.toBuilder().setIncarnation(2).build());
            } else {
                accounting.onMemberRemoved(PEER);
            }
            loop.advance(100);

            // then
            assertThat(store.total()).isEqualTo(5);
            store.clear();
        }
    }

    @Test
    void should_use_paid_link_only_when_region_has_one_data_centre() {
        // given
        MemberRecord otherRegion = member("abroad", "east", "east-1");
        members.publish(List.of(otherRegion));
        assertThat(peers.get()).containsExactly(new NodeId("abroad"));

        // when
        startWith(PEER, otherRegion);
        assertThat(peers.get()).containsExactly(new NodeId("peer"));
        members.publish(List.of(otherRegion));

        // then
        assertThat(peers.get()).isEmpty();
    }

    private void startWith(MemberRecord... present) {
        members.publish(List.of(present));
        List.of(present).forEach(accounting::onMemberPresent);
        accounting.start();
        loop.run();
    }

    private void refuse() {
        accounting.record(
                new Refusal(
                        new ServiceName("besuch"),
                        new CallerName("staff"),
                        RefusalReason.QUEUE_FULL,
                        1),
                recordedIds::add);
    }

    private RefusalSummary flushAndSummarize() {
        CompletableFuture<Void> done = accounting.flush(FLUSH_TIMEOUT_MILLISECONDS);
        loop.advance(1_000);
        assertThat(done.isDone()).isTrue();
        RefusalReconciler reconciler = new RefusalReconciler(0, 60);
        store.refusals().forEach(reconciler::add);
        return reconciler.summarize();
    }

    private MeshLink link(String peer) {
        return new MeshLink() {
            @Override
            public NodeId peer() {
                return new NodeId(peer);
            }

            @Override
            public Incarnation incarnation() {
                return new Incarnation(1);
            }

            @Override
            public boolean send(MeshFrame frame) {
                return replies.add(frame);
            }
        };
    }

    private static MeshFrame stored(RefusalBatch batch) {
        return MeshFrame.newBuilder()
                .setRefusalBatchStored(
                        RefusalBatchStored.newBuilder()
                                .setIncarnation(batch.getIncarnation())
                                .setSequence(batch.getSequence()))
                .build();
    }

    private static MeshFrame batchOfPeer() {
        RefusalObject counts = InMemoryObjectStore.refusals("peer", 5);
        return MeshFrame.newBuilder()
                .setRefusalBatch(
                        RefusalBatch.newBuilder()
                                .setNodeId("peer")
                                .setIncarnation(1)
                                .setSequence(1)
                                .setGroupFirstSequence(1)
                                .setFirstSequence(1)
                                .addAllCounts(counts.getCountsList()))
                .build();
    }

    private static MemberRecord member(String node, String region, String dataCentre) {
        return MemberRecord.newBuilder()
                .setNodeId(node)
                .setIncarnation(1)
                .setState(MemberState.ALIVE)
                .setRegion(region)
                .setDataCentre(dataCentre)
                .setAddress("127.0.0.1")
                .setMeshPort(1)
                .build();
    }
}
