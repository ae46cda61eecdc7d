package org.damaskmoor.bench.demo;

import static com.google.common.truth.Truth.assertThat;

import java.util.List;
import org.damaskmoor.schema.accounting.RefusalObject;
import org.damaskmoor.schema.mesh.RefusalCount;
import org.junit.jupiter.api.Test;

class StoredRefusalsTest {
    private static RefusalObject object(String node, int first, int last, int count) {
        return RefusalObject.newBuilder()
                .setNodeId(node)
                .setIncarnation(1)
                .setFirstSequence(first)
                .setLastSequence(last)
                .addCounts(RefusalCount.newBuilder().setCount(count))
                .build();
    }

    @Test
    void should_count_a_batch_once_when_one_object_contains_another() {
        assertThat(
                        StoredRefusals.sum(
                                List.of(
                                        object("a", 1, 2, 3),
                                        object("a", 1, 2, 3),
                                        object("a", 1, 5, 7),
                                        object("a", 6, 6, 10),
                                        object("b", 1, 2, 100))))
                .isEqualTo(117);
    }
}
