package org.damaskmoor.bench.soak;

import static com.google.common.truth.Truth.assertThat;

import java.util.Arrays;
import java.util.List;
import java.util.Random;
import org.junit.jupiter.api.Test;

class FaultScheduleTest {
    private static List<PlannedFault> plan(long seed) {
        return new FaultSchedule(new Random(seed)).plan(20, 600);
    }

    @Test
    void should_plan_the_same_faults_when_the_seed_is_the_same() {
        assertThat(plan(7)).isEqualTo(plan(7));
        assertThat(plan(7)).isNotEqualTo(plan(8));
    }

    @Test
    void should_plan_every_kind_in_order_of_time_when_the_run_is_long() {
        List<PlannedFault> faults = plan(7);

        assertThat(faults.stream().map(PlannedFault::kind).distinct().toList())
                .containsExactlyElementsIn(Arrays.asList(FaultKind.values()));
        assertThat(faults.stream().map(PlannedFault::startMilliseconds).toList()).isInOrder();
    }
}
