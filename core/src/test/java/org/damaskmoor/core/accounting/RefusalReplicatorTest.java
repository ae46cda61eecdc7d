package org.damaskmoor.core.accounting;

import static com.google.common.truth.Truth.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.damaskmoor.core.id.CallerName;
import org.damaskmoor.core.id.Incarnation;
import org.damaskmoor.core.id.NodeId;
import org.damaskmoor.core.id.ServiceName;
import org.damaskmoor.schema.mesh.RefusalBatch;
import org.damaskmoor.schema.mesh.RefusalBatchStored;
import org.damaskmoor.schema.mesh.RefusalReason;
import org.junit.jupiter.api.Test;

class RefusalReplicatorTest {
    private static final long MILLISECOND = TimeUnit.MILLISECONDS.toNanos(1);
    private static final NodeId FIRST = new NodeId("buddy-a");
    private static final NodeId SECOND = new NodeId("buddy-b");
    private static final int KEYS = 4_096;

    private record Sent(NodeId peer, RefusalBatch batch) {}

    private final List<CompletableFuture<RefusalDurability>> tickets = new ArrayList<>();
    private final List<Sent> sent = new ArrayList<>();
    private final List<NodeId> peers = new ArrayList<>(List.of(FIRST));
    private final RefusalReplicator replicator =
            new RefusalReplicator(
                    new NodeId("owner"),
                    new Incarnation(7),
                    RefusalReplicatorLimits.defaults(),
                    () -> peers,
                    (peer, batch) -> sent.add(new Sent(peer, batch)),
                    new SplittableRandom(1));

    @Test
    void should_answer_the_refusals_of_a_batch_when_a_peer_stored_it() {
        // given
        CompletableFuture<RefusalDurability> one = replicator.record(refusal("a", 1), 0);
        CompletableFuture<RefusalDurability> two = replicator.record(refusal("b", 1), 0);
        replicator.tick(MILLISECOND);
        assertThat(one.isDone()).isFalse();

        // when
        acknowledge(last(), 2 * MILLISECOND);

        // then
        assertThat(sent).hasSize(1);
        assertThat(one.join()).isEqualTo(RefusalDurability.STORED);
        assertThat(two.join()).isEqualTo(RefusalDurability.STORED);
    }

    @Test
    void should_answer_with_a_recorded_gap_when_no_peer_responds_in_time() {
        // given
        CompletableFuture<RefusalDurability> refused = replicator.record(refusal("a", 1), 0);

        // when
        for (long now = 0; now <= 300 * MILLISECOND; now += MILLISECOND) {
            replicator.tick(now);
        }

        // then
        assertThat(refused.join()).isEqualTo(RefusalDurability.GAP);
        assertThat(replicator.record(refusal("a", 1), 301 * MILLISECOND).join())
                .isEqualTo(RefusalDurability.GAP);
        RefusalGroup group = replicator.closeGroup(302 * MILLISECOND).orElseThrow();
        assertThat(group.gaps()).hasSize(1);
        assertThat(group.gaps().get(0).getCount()).isEqualTo(2);
        assertThat(group.counts().get(0).getCount()).isEqualTo(2);
    }

    @Test
    void should_send_everything_unflushed_to_another_peer_when_the_peer_is_lost() {
        // given: one stored batch in a closed group, one in the open group
        recordAndStore(0);
        replicator.closeGroup(10 * MILLISECOND);
        recordAndStore(20 * MILLISECOND);
        sent.clear();
        peers.set(0, SECOND);

        // when
        replicator.onPeerLost(FIRST, 30 * MILLISECOND);

        // then
        assertThat(sent.stream().map(Sent::peer).distinct()).containsExactly(SECOND);
        assertThat(sent.stream().map(each -> each.batch().getSequence()))
                .containsExactly(1L, 2L)
                .inOrder();
        assertThat(sent.stream().map(each -> each.batch().getCountsCount())).containsExactly(1, 1);
    }

    @Test
    void should_send_the_closed_group_again_when_it_is_not_acknowledged() {
        // given
        recordAndStore(0);
        replicator.closeGroup(10 * MILLISECOND);
        peers.set(0, SECOND);
        replicator.onPeerLost(FIRST, 30 * MILLISECOND);
        sent.clear();

        // when: the new peer does not respond
        replicator.tick(200 * MILLISECOND);

        // then
        assertThat(last().batch().getSequence()).isEqualTo(1);
    }

    @Test
    void should_bound_memory_and_count_every_refusal_in_an_outage_of_hours() {
        // given: store and peers are unreachable for six hours, and every refusal has a new caller
        tickets.add(replicator.record(refusal("a", 0), 0));
        replicator.closeGroup(MILLISECOND);
        peers.clear();
        replicator.onPeerLost(FIRST, MILLISECOND);
        int refusals = 0;

        // when
        for (long minute = 0; minute < 360; minute++) {
            for (int i = 0; i < 200; i++) {
                long now = TimeUnit.MINUTES.toNanos(minute) + i * MILLISECOND;
                tickets.add(replicator.record(refusal("caller-" + refusals, minute), now));
                replicator.tick(now);
                refusals++;
            }
        }

        // then
        assertThat(tickets.stream().allMatch(CompletableFuture::isDone)).isTrue();
        assertThat(replicator.size()).isAtMost(KEYS * 5 / 4 + 2 * 6 + 2);
        replicator.onFlushed();
        RefusalGroup group = replicator.closeGroup(TimeUnit.HOURS.toNanos(6)).orElseThrow();
        assertThat(group.counts().stream().mapToLong(count -> count.getCount()).sum())
                .isEqualTo(refusals);
        assertThat(group.folded()).isAtLeast(refusals - KEYS * 5L / 4);
    }

    private void recordAndStore(long now) {
        CompletableFuture<RefusalDurability> ticket = replicator.record(refusal("a", 1), now);
        replicator.tick(now + MILLISECOND);
        acknowledge(last(), now + 2 * MILLISECOND);
        assertThat(ticket.join()).isEqualTo(RefusalDurability.STORED);
    }

    private void acknowledge(Sent message, long now) {
        replicator.onStored(
                message.peer(),
                RefusalBatchStored.newBuilder()
                        .setIncarnation(message.batch().getIncarnation())
                        .setSequence(message.batch().getSequence())
                        .build(),
                now);
    }

    private Sent last() {
        return sent.get(sent.size() - 1);
    }

    private static Refusal refusal(String caller, long epochMinute) {
        return new Refusal(
                new ServiceName("besuch"),
                new CallerName(caller),
                RefusalReason.QUEUE_FULL,
                epochMinute,
                1);
    }
}
