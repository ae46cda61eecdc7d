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
    /** Header names, paths and fields that the users' pages define. */
    private static final Pattern WORDS =
            Pattern.compile(
                    "\"(Request-Id|Deadline-Ms|Expect-Instance|Caller-Service|Server-Stamp"
                            + "|Server-Load|Not-Executed|Instance-Id|weightedSplit|targetLatency"
                            + "|maxAttempts|coldRemaining|hasMore|waitMs)\""
                            + "|/v1/|rows-|Instances\\.");

    @Test
    void should_keep_the_words_of_the_platform_in_its_folder() throws IOException {
        // when
        List<String> strays = new ArrayList<>();
        for (String module :
                List.of("core", "relay", "mesh", "node", "operator", "report", "soak")) {
            try (Stream<Path> files = Files.walk(Path.of("..", module, "src", "main"))) {
                files.filter(file -> file.toString().endsWith(".java"))
                        .filter(PlatformNameIsolationTest::holdsWord)
                        .forEach(file -> strays.add(file.toString()));
            }
        }

        // then
        assertThat(strays).isEmpty();
    }

    private static boolean holdsWord(Path file) {
        try {
            return WORDS.matcher(Files.readString(file)).find();
        } catch (IOException unreadable) {
            throw new IllegalStateException(unreadable);
        }
    }
}
