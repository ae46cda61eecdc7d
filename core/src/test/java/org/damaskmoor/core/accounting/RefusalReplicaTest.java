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

    private final RefusalReplica buddy = new RefusalReplica(3, 3);

    @Test
    void should_hand_out_what_a_killed_owner_did_not_flush() {
        // given: the first group is flushed, a batch of the second comes twice
        buddy.onBatch(batch(7, 1, 1, "a"));
        buddy.onBatch(batch(7, 2, 2, "a").toBuilder().setFlushedThrough(1).build());
        buddy.onBatch(batch(7, 2, 3, "a"));
        buddy.onBatch(batch(7, 2, 3, "a"));

        // when
        buddy.onOwnerDown(OWNER, INCARNATION);
        List<RefusalGroup> abandoned = buddy.takeOrphaned();

        // then
        assertThat(abandoned).hasSize(1);
        assertThat(abandoned.get(0).first()).isEqualTo(2);
        assertThat(abandoned.get(0).last()).isEqualTo(3);
        assertThat(abandoned.get(0).counts().get(0).getCount()).isEqualTo(2);
        assertThat(buddy.takeOrphaned()).isEmpty();
        buddy.onFlushed(abandoned.get(0));
        assertThat(buddy.size()).isEqualTo(0);
    }

    @Test
    void should_abandon_an_incarnation_when_the_node_is_back_with_another() {
        // given
        buddy.onBatch(batch(7, 1, 1, "a"));

        // when
        buddy.onBatch(batch(8, 1, 1, "a"));

        // then
        assertThat(buddy.takeOrphaned().stream().map(RefusalGroup::incarnation))
                .containsExactly(INCARNATION);
    }

    @Test
    void should_not_acknowledge_a_batch_when_one_before_it_is_missing() {
        // given
        buddy.onBatch(batch(7, 1, 1, "a"));

        // when
        boolean acknowledged = buddy.onBatch(batch(7, 1, 3, "a")).isPresent();

        // then
        assertThat(acknowledged).isFalse();
    }

    @Test
    void should_say_that_it_is_full_at_its_bound() {
        // given
        buddy.onBatch(batch(7, 1, 1, "a"));
        buddy.onBatch(batch(7, 1, 2, "b"));
        buddy.onBatch(batch(7, 1, 3, "c"));

        // when
        RefusalBatchStored answer = buddy.onBatch(batch(7, 1, 4, "d")).orElseThrow();

        // then
        assertThat(answer.getFull()).isTrue();
        assertThat(buddy.size()).isEqualTo(3);
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
