package org.damaskmoor.core.settings;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.util.stream.Collectors;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class TlsFilesTest {
    @Test
    void should_disable_tls_when_no_file_is_set() throws SettingsException {
        assertThat(TlsFiles.of("", "", "")).isEmpty();
    }

    @ParameterizedTest
    @CsvSource({
        "c, '', '', '--tls-key-file --tls-authority-file'",
        "'', k, '', '--tls-certificate-file --tls-authority-file'",
        "'', '', a, '--tls-certificate-file --tls-key-file'",
        "c, k, '', --tls-authority-file",
        "c, '', a, --tls-key-file",
        "'', k, a, --tls-certificate-file"
    })
    void should_name_each_missing_flag_when_only_some_files_are_set(
            String certificate, String key, String authority, String missing) {
        // when
        SettingsException failure =
                assertThrows(
                        SettingsException.class, () -> TlsFiles.of(certificate, key, authority));

        // then
        String named =
                failure.faults().stream().map(SettingFault::flag).collect(Collectors.joining(" "));
        assertThat(named).isEqualTo(missing);
    }
}
