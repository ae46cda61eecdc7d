package org.damaskmoor.report;

import static com.google.common.truth.Truth.assertThat;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.PrintStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.nio.charset.StandardCharsets;
import java.time.Instant;
import org.junit.jupiter.api.Test;

class ReportMainTest {
    private static final Instant NOW = Instant.parse("2026-12-04T04:00:30Z");
    private static final String STORE = "--object-store-url=http://127.0.0.1:9";

    private final ByteArrayOutputStream out = new ByteArrayOutputStream();
    private final ByteArrayOutputStream err = new ByteArrayOutputStream();

    @Test
    void should_name_option_value_and_allowed_values_when_an_option_is_invalid() {
        assertRejected("--output", "xml", "refusals", STORE, "--output", "xml");
        assertRejected("--from", "yesterday", "refusals", STORE, "--from", "yesterday");
        assertRejected("--object-store-url", "here", "refusals", "--object-store-url", "here");
        assertRejected("--table-service-url", "here", "burn", STORE, "--table-service-url", "here");
        assertRejected("--file", "/no/such/place", "refusals", STORE, "--file", "/no/such/place");
        assertRejected("--output", "html", "refusals", STORE, "--output", "html");
        assertRejected("--service", "", "refusals", STORE, "--service", " ");
        assertRejected(
                "--from",
                "2026-12-04T05:00:00Z",
                "refusals",
                STORE,
                "--from",
                "2026-12-04T05:00:00Z");
    }

    @Test
    void should_reject_unknown_options_and_commands() {
        assertThat(run("refusals", STORE, "--colour", "red")).isEqualTo(2);
        assertThat(run("refunds", STORE)).isEqualTo(2);
    }

    @Test
    void should_exit_with_3_when_the_platform_does_not_answer() throws IOException {
        // given: a port that nobody listens on
        int port;
        try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            port = socket.getLocalPort();
        }

        // when
        int code = run("refusals", "--object-store-url", "http://127.0.0.1:" + port);

        // then
        assertThat(code).isEqualTo(3);
        assertThat(text(err)).contains("step=list objects refusals/");
        assertThat(text(err)).contains("peer=127.0.0.1:" + port);
    }

    @Test
    void should_print_commands_and_exit_codes_when_help_is_requested() {
        assertThat(run("--help")).isEqualTo(0);
        assertThat(text(out)).contains("refusals");
        assertThat(text(out)).contains("burn");
        assertThat(text(out)).contains("Exit codes");
    }

    private void assertRejected(String flag, String value, String... arguments) {
        err.reset();
        assertThat(run(arguments)).isEqualTo(2);
        assertThat(text(err)).contains(flag + " has the value <" + value.strip());
        assertThat(text(err)).contains("allowed is");
    }

    private int run(String... arguments) {
        PrintStream outStream = new PrintStream(out, true, StandardCharsets.UTF_8);
        PrintStream errStream = new PrintStream(err, true, StandardCharsets.UTF_8);
        return ReportMain.run(arguments, outStream, errStream, NOW);
    }

    private static String text(ByteArrayOutputStream bytes) {
        return bytes.toString(StandardCharsets.UTF_8);
    }
}
