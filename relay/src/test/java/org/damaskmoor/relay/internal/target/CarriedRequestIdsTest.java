package org.damaskmoor.relay.internal.target;

import static com.google.common.truth.Truth.assertThat;

import org.junit.jupiter.api.Test;

/** Request ids of connections, which are stood for by their names. */
class CarriedRequestIdsTest {
    private final CarriedRequestIds<String> carriedIds = new CarriedRequestIds<>();

    @Test
    void should_contain_an_id_for_the_connection_that_carried_it_only() {
        // when
        carriedIds.add("one", "r1");

        // then
        assertThat(carriedIds.contains("one", "r1")).isTrue();
        assertThat(carriedIds.contains("one", "r2")).isFalse();
        assertThat(carriedIds.contains("two", "r1")).isFalse();
    }

    @Test
    void should_contain_all_ids_until_the_connection_is_exhausted() {
        // when
        for (int i = 0; i < CarriedRequestIds.MAX_IDS; i++) {
            assertThat(carriedIds.isExhausted("one")).isFalse();
            carriedIds.add("one", "r" + i);
        }

        // then
        assertThat(carriedIds.isExhausted("one")).isTrue();
        for (int i = 0; i < CarriedRequestIds.MAX_IDS; i++) {
            assertThat(carriedIds.contains("one", "r" + i)).isTrue();
        }
    }

    @Test
    void should_forget_the_ids_of_a_connection_when_it_is_removed() {
        // given
        carriedIds.add("one", "r1");

        // when
        carriedIds.remove("one");

        // then
        assertThat(carriedIds.contains("one", "r1")).isFalse();
    }
}
