package org.damaskmoor.core.election;

import static com.google.common.truth.Truth.assertThat;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

class DigestComparisonTest {
    private static final long PERIOD_MILLISECONDS = 600;

    private final DigestComparison comparison = new DigestComparison();

    @Test
    void should_not_read_while_a_change_spreads() {
        assertThat(comparison.onDigest(1, 2, 0)).isFalse();
        assertThat(comparison.onDigest(1, 2, 2000)).isFalse();
        assertThat(comparison.onDigest(2, 2, 2400)).isFalse();
        assertThat(comparison.onDigest(2, 3, 3000)).isFalse();
        assertThat(comparison.onDigest(2, 3, 5000)).isFalse();
    }

    @Test
    void should_read_when_the_difference_lasts() {
        // given
        comparison.onDigest(1, 2, 0);

        // when, then
        assertThat(comparison.onDigest(1, 2, 2500)).isTrue();
    }

    @Test
    void should_read_ever_less_often_when_reading_does_not_help() {
        // when
        List<Long> readAt = new ArrayList<>();
        for (long now = 0; now < 300_000; now += PERIOD_MILLISECONDS) {
            if (comparison.onDigest(1, 2, now)) {
                readAt.add(now);
            }
        }

        // then
        assertThat(readAt.size()).isAtMost(7);
        assertThat(readAt.get(1) - readAt.get(0)).isAtLeast(10_000L);
        assertThat(readAt.get(3) - readAt.get(2)).isAtLeast(40_000L);
    }
}
