package org.damaskmoor.relay.internal.target;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.List;
import java.util.Random;
import java.util.regex.Pattern;
import org.junit.jupiter.api.Test;

/** Bodies with and without the head of another answer. */
class EmbeddedAnswerScannerTest {
    private static final String STATUS_LINE = "HTTP/1.1 200 OK\r\n";
    private static final String FIELD = "Name: value\r\n";
    private static final String ID = "request-ID: 1";

    /** What counts as a head of another answer; slow where status lines follow each other. */
    private static final Pattern HEAD =
            Pattern.compile(
                    "HTTP/[0-9]\\.[0-9] [0-9]{3}[^\r\n]*\r\n(?:[^\r\n]+\r\n){0,64}?"
                            + "(?i:Request-Id):");

    @Test
    void should_find_a_status_line_that_the_id_of_a_request_follows() {
        assertThat(isFound("text" + STATUS_LINE + ID)).isTrue();
        assertThat(isFound(STATUS_LINE + FIELD.repeat(64) + ID)).isTrue();
        assertThat(isFound(STATUS_LINE + FIELD.repeat(30) + STATUS_LINE + ID)).isTrue();
    }

    @Test
    void should_not_find_a_quoted_status_line_or_an_id_elsewhere() {
        assertThat(isFound(ID)).isFalse();
        assertThat(isFound(STATUS_LINE + " " + ID)).isFalse();
        assertThat(isFound(STATUS_LINE + "\r\n" + ID)).isFalse();
        assertThat(isFound("HTTP/1.1 200 OK\n" + ID)).isFalse();
        assertThat(isFound(STATUS_LINE + "a\nb\r\n" + ID)).isFalse();
        assertThat(isFound(STATUS_LINE + FIELD.repeat(65) + ID)).isFalse();
        assertThat(isFound("HTTP/1.1 20 OK\r\n" + ID)).isFalse();
    }

    /** Guards against a verdict that depends on where the reads of a body end. */
    @Test
    void should_agree_with_the_pattern_of_a_head_however_the_bytes_arrive() {
        Random random = new Random(45);
        List<String> parts =
                List.of(
                        STATUS_LINE,
                        FIELD,
                        ID,
                        "\r\n",
                        "\r",
                        "\n",
                        "H",
                        "HTTP/1.",
                        "HTTP/1.0 404",
                        " ",
                        "R",
                        "Request-Id",
                        ":",
                        "x",
                        "\u00e9");
        int heads = 0;
        for (int i = 0; i < 50_000; i++) {
            StringBuilder body = new StringBuilder();
            for (int part = random.nextInt(12); part >= 0; part--) {
                body.append(parts.get(random.nextInt(parts.size())));
            }
            boolean expected = HEAD.matcher(body).find();
            heads += expected ? 1 : 0;

            // when, then
            assertWithMessage("body %s", body)
                    .that(isFoundInPieces(body.toString(), random))
                    .isEqualTo(expected);
        }
        assertThat(heads).isAtLeast(1000);
    }

    private static boolean isFound(String body) {
        EmbeddedAnswerScanner scanner = new EmbeddedAnswerScanner();
        scanner.scan(body.getBytes(StandardCharsets.ISO_8859_1));
        return scanner.hasFound();
    }

    private static boolean isFoundInPieces(String body, Random random) {
        EmbeddedAnswerScanner scanner = new EmbeddedAnswerScanner();
        byte[] bytes = body.getBytes(StandardCharsets.ISO_8859_1);
        int from = 0;
        while (from < bytes.length) {
            int to = Math.min(bytes.length, from + 1 + random.nextInt(8));
            scanner.scan(Arrays.copyOfRange(bytes, from, to));
            from = to;
        }
        return scanner.hasFound();
    }
}
