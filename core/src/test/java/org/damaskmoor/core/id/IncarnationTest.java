package org.damaskmoor.core.id;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

import org.junit.jupiter.api.Test;

class IncarnationTest {
    @Test
    void should_order_a_later_start_after_an_earlier_one() {
        // given
        Incarnation earlier = new Incarnation(1);
        Incarnation later = new Incarnation(2);

        // when
        int order = earlier.compareTo(later);

        // then
        assertThat(order).isLessThan(0);
    }

    @Test
    void should_refuse_a_number_that_is_not_positive() {
        assertThrows(IllegalArgumentException.class, () -> new Incarnation(0));
    }
}
