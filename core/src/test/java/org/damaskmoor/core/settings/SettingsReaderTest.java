package org.damaskmoor.core.settings;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.util.HashMap;
import java.util.Map;
import org.damaskmoor.schema.settings.NodeSettings;
import org.junit.jupiter.api.Test;

class SettingsReaderTest {
    private final Map<String, String> flags =
            new HashMap<>(
                    Map.of(
                            "--node-id", "besuch-1",
                            "--region", "mittelland",
                            "--data-centre", "bern-nord",
                            "--table-service-url", "http://127.0.0.1:1",
                            "--object-store-url", "http://127.0.0.1:1"));

    @Test
    void should_use_the_default_when_no_value_is_given() throws SettingsException {
        // when
        NodeSettings settings = read(Map.of());

        // then
        assertThat(settings.getHttpPort()).isEqualTo(8080);
    }

    @Test
    void should_prefer_the_flag_when_the_environment_has_another_value() throws SettingsException {
        // given
        flags.put("--http-port", "9000");

        // when
        NodeSettings settings = read(Map.of("DAMASKMOOR_HTTP_PORT", "9001"));

        // then
        assertThat(settings.getHttpPort()).isEqualTo(9000);
    }

    @Test
    void should_report_every_fault_when_several_values_are_invalid() {
        // given
        flags.put("--http-port", "70000");
        flags.put("--log-level", "loud");
        flags.put("--queue-limit", "many");
        flags.remove("--node-id");

        // when
        SettingsException failure = assertThrows(SettingsException.class, () -> read(Map.of()));

        // then
        assertThat(failure.faults()).hasSize(4);
        assertThat(failure)
                .hasMessageThat()
                .contains("--http-port has the value '70000'; allowed: 1 to 65535");
        assertThat(failure).hasMessageThat().contains("--node-id is required");
    }

    private NodeSettings read(Map<String, String> environment) throws SettingsException {
        return SettingsReader.read(NodeSettings.getDefaultInstance(), flags, environment);
    }
}
