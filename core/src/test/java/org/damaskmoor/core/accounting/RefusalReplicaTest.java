package org.damaskmoor.core.accounting;

import static com.google.common.truth.Truth.assertThat;

import java.util.List;
import org.damaskmoor.core.id.Incarnation;
import org.damaskmoor.core.id.NodeId;
import org.damaskmoor.schema.mesh.RefusalBatch;
import org.damaskmoor.schema.mesh.RefusalBatchStored;
import org.damaskmoor.schema.mesh.RefusalCount;
import org.damaskmoor.schema.mesh.RefusalReason;
import org.junit.jupiter.api.Test;

class RefusalReplicaTest {
    private static final NodeId OWNER = new NodeId("owner");
    private static final Incarnation INCARNATION = new Incarnation(7);

    private final RefusalReplica replica = new RefusalReplica(3, 3);

    @Test
    void should_return_the_unflushed_group_of_a_dead_owner() {
        // given: the first group is flushed, a batch of the second arrives twice
        replica.onBatch(batch(7, 1, 1, "a"));
        replica.onBatch(batch(7, 2, 2, "a").toBuilder().setFlushedThrough(1).build());
        replica.onBatch(batch(7, 2, 3, "a"));
        replica.onBatch(batch(7, 2, 3, "a"));

        // when
        replica.onOwnerDown(OWNER, INCARNATION);
        List<RefusalGroup> orphaned = replica.takeOrphaned();

        // then
        assertThat(orphaned).hasSize(1);
        assertThat(orphaned.get(0).first()).isEqualTo(2);
        assertThat(orphaned.get(0).last()).isEqualTo(3);
        assertThat(orphaned.get(0).counts().get(0).getCount()).isEqualTo(2);
        assertThat(replica.takeOrphaned()).isEmpty();
        replica.onFlushed(orphaned.get(0));
        assertThat(replica.size()).isEqualTo(0);
    }

    @Test
    void should_treat_an_incarnation_as_down_when_the_node_restarted() {
        // given
        replica.onBatch(batch(7, 1, 1, "a"));

        // when
        replica.onBatch(batch(8, 1, 1, "a"));

        // then
        assertThat(replica.takeOrphaned().stream().map(RefusalGroup::incarnation))
                .containsExactly(INCARNATION);
    }

    @Test
    void should_not_acknowledge_a_batch_when_one_before_it_is_missing() {
        // given
        replica.onBatch(batch(7, 1, 1, "a"));

        // when
        boolean acknowledged = replica.onBatch(batch(7, 1, 3, "a")).isPresent();

        // then
        assertThat(acknowledged).isFalse();
    }

    @Test
    void should_answer_full_when_the_key_limit_is_reached() {
        // given
        replica.onBatch(batch(7, 1, 1, "a"));
        replica.onBatch(batch(7, 1, 2, "b"));
        replica.onBatch(batch(7, 1, 3, "c"));

        // when
        RefusalBatchStored answer = replica.onBatch(batch(7, 1, 4, "d")).orElseThrow();

        // then
        assertThat(answer.getFull()).isTrue();
        assertThat(replica.size()).isEqualTo(3);
    }

    private static RefusalBatch batch(
            long incarnation, long groupFirst, long sequence, String caller) {
        return RefusalBatch.newBuilder()
                .setNodeId(OWNER.value())
                .setIncarnation(incarnation)
                .setSequence(sequence)
                .setGroupFirstSequence(groupFirst)
                .setFirstSequence(sequence)
                .addCounts(
                        RefusalCount.newBuilder()
                                .setService("besuch")
                                .setCaller(caller)
                                .setReason(RefusalReason.QUEUE_FULL)
                                .setEpochMinute(1)
                                .setCount(1))
                .build();
    }
}
