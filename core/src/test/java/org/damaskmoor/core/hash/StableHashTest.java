package org.damaskmoor.core.hash;

import static com.google.common.truth.Truth.assertThat;

import org.junit.jupiter.api.Test;

class StableHashTest {
    /**
     * Expected values were computed independently of this code; no later version may change them.
     */
    @Test
    void should_give_the_same_values_in_every_version() {
        // given
        byte[] body = {1, 2, (byte) 255};

        // when
        long text = StableHash.of("besuch");
        long textAndBody = StableHash.of("besuch", body);

        // then
        assertThat(text).isEqualTo(0xcdbf1c756b1024ddL);
        assertThat(textAndBody).isEqualTo(0x0824f0dd297656b0L);
        assertThat(StableHash.combine(text, textAndBody)).isEqualTo(0x48886f7cb95bf913L);
    }
}
