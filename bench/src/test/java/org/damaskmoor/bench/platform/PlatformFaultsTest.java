package org.damaskmoor.bench.platform;

import static com.google.common.truth.Truth.assertThat;

import org.damaskmoor.bench.http.JsonObject;
import org.damaskmoor.bench.platform.PlatformFaults.Mode;
import org.junit.jupiter.api.Test;

class PlatformFaultsTest {
    @Test
    void should_expire_when_its_duration_has_passed() {
        // given
        PlatformFaults faults = new PlatformFaults();

        // when
        faults.change(JsonObject.parse("{\"mode\": \"down\", \"for_milliseconds\": 50}"), 1000);

        // then
        assertThat(faults.mode(1049)).isEqualTo(Mode.DOWN);
        assertThat(faults.mode(1050)).isEqualTo(Mode.NONE);
    }
}
