package org.damaskmoor.relay.internal.fleet;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

import com.google.protobuf.ByteString;
import java.util.zip.DataFormatException;
import org.damaskmoor.platform.standin.ConfigurationJson;
import org.junit.jupiter.api.Test;

class TextCompressionTest {
    private static final int MAX_BYTES = 1024 * 1024;

    @Test
    void should_restore_the_text_when_it_is_decompressed() throws Exception {
        // given
        ByteString text = configurationWithRoutes(1000);

        // when
        ByteString compressed = TextCompression.compress(text);

        // then
        assertThat(TextCompression.decompress(compressed, MAX_BYTES)).isEqualTo(text);
        assertThat(compressed.size()).isLessThan(text.size() / 8);
    }

    @Test
    void should_reject_a_text_that_grows_beyond_the_bound() {
        // given
        ByteString compressed = TextCompression.compress(ByteString.copyFrom(new byte[MAX_BYTES]));

        // when, then
        assertThrows(
                DataFormatException.class,
                () -> TextCompression.decompress(compressed, MAX_BYTES - 1));
    }

    @Test
    void should_reject_bytes_that_are_not_a_complete_text() {
        // given
        ByteString compressed = TextCompression.compress(configurationWithRoutes(10));

        // when, then
        assertThrows(
                DataFormatException.class,
                () ->
                        TextCompression.decompress(
                                compressed.substring(0, compressed.size() / 2), MAX_BYTES));
        assertThrows(
                DataFormatException.class,
                () -> TextCompression.decompress(ByteString.copyFromUtf8("text"), MAX_BYTES));
    }

    private static ByteString configurationWithRoutes(int count) {
        StringBuilder routes = new StringBuilder();
        for (int i = 0; i < count; i++) {
            routes.append(',')
                    .append(ConfigurationJson.route("r" + i, "/p" + i + "/", "idempotent"));
        }
        return ByteString.copyFromUtf8(ConfigurationJson.of(1, routes.toString()));
    }
}
