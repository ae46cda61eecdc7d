package org.damaskmoor.relay;

import static com.google.common.truth.Truth.assertThat;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.regex.Pattern;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;

class PlatformNameIsolationTest {
    /** Header names, paths and fields of the platform's protocol. */
    private static final Pattern PLATFORM_NAMES =
            Pattern.compile(
                    "\"(Request-Id|Deadline-Ms|Expect-Instance|Caller-Service|Server-Stamp"
                            + "|Server-Load|Not-Executed|Instance-Id|weightedSplit|targetLatency"
                            + "|maxAttempts|coldRemaining|hasMore|waitMs)\""
                            + "|/v1/|rows-|Instances\\.");

    @Test
    void should_use_names_of_the_platform_protocol_in_its_module_only() throws IOException {
        // when
        List<String> violations = new ArrayList<>();
        for (String module :
                List.of("core", "relay", "mesh", "node", "operator", "report", "soak")) {
            try (Stream<Path> files = Files.walk(Path.of("..", module, "src", "main"))) {
                files.filter(file -> file.toString().endsWith(".java"))
                        .filter(PlatformNameIsolationTest::containsPlatformName)
                        .forEach(file -> violations.add(file.toString()));
            }
        }

        // then
        assertThat(violations).isEmpty();
    }

    private static boolean containsPlatformName(Path file) {
        try {
            return PLATFORM_NAMES.matcher(Files.readString(file)).find();
        } catch (IOException failure) {
            throw new IllegalStateException(failure);
        }
    }
}
