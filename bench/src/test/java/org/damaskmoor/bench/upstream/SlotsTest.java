package org.damaskmoor.bench.upstream;

import static com.google.common.truth.Truth.assertThat;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

class SlotsTest {
    @Test
    void should_start_queued_work_in_order_when_slots_become_free() {
        // given
        Slots slots = new Slots(2);
        List<String> started = new ArrayList<>();
        List<Runnable> releases = new ArrayList<>();
        for (String name : List.of("a", "b", "c", "d")) {
            slots.submit(
                    release -> {
                        started.add(name);
                        releases.add(release);
                    });
        }
        assertThat(started).containsExactly("a", "b").inOrder();

        // when
        releases.get(1).run();
        releases.get(0).run();

        // then
        assertThat(started).containsExactly("a", "b", "c", "d").inOrder();
        assertThat(slots.waiting()).isEqualTo(0);
    }
}
