package org.damaskmoor.spec;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.List;
import java.util.Set;
import java.util.stream.Collectors;
import org.damaskmoor.core.atmostonce.CallState;
import org.junit.jupiter.api.Test;

class LedgerTransitionsTest {
    private static final Set<String> ONLY_WHEN_UNKNOWN = Set.of("acceptFull", "sealFull");

    @Test
    void should_follow_the_transition_table_of_the_model() throws IOException {
        for (Transition transition : transitions()) {
            // given
            LedgerModelDriver driver = LedgerModelDriver.in(transition.state());

            // when
            String result = driver.apply(transition.operation());

            // then
            String next = driver.state();
            assertWithMessage("%s", transition).that(result).isEqualTo(transition.result());
            assertWithMessage("%s", transition).that(next).isEqualTo(transition.next());
        }
    }

    @Test
    void should_cover_each_operation_in_each_state_once() throws IOException {
        // given
        List<Transition> transitions = transitions();
        Set<String> operations =
                transitions.stream().map(Transition::operation).collect(Collectors.toSet());

        // when
        List<String> covered =
                transitions.stream().map(row -> row.state() + " " + row.operation()).toList();

        // then
        assertThat(covered).containsNoDuplicates();
        for (CallState state : CallState.values()) {
            for (String operation : operations) {
                if (!ONLY_WHEN_UNKNOWN.contains(operation)) {
                    assertThat(covered).contains(state + " " + operation);
                }
            }
        }
        for (String operation : operations) {
            assertThat(covered).contains("ABSENT " + operation);
            assertThat(covered).contains("FENCED " + operation);
        }
    }

    @Test
    void should_reach_sealed_and_refused_from_queued_only() throws IOException {
        Set<String> notRun = Set.of("SEALED", "REFUSED");
        Set<String> mayPrecede = Set.of("ABSENT", "FENCED", "QUEUED", "SEALED", "REFUSED");

        for (Transition transition : transitions()) {
            if (notRun.contains(transition.next())) {
                assertThat(mayPrecede).contains(transition.state());
            }
        }
    }

    private static List<Transition> transitions() throws IOException {
        return Files.readAllLines(Path.of("once", "transitions.txt")).stream()
                .filter(line -> !line.startsWith("#") && !line.isBlank())
                .map(Transition::parse)
                .toList();
    }

    private record Transition(String state, String operation, String result, String next) {
        static Transition parse(String line) {
            List<String> columns = Arrays.asList(line.trim().split("\\s+", -1));
            return new Transition(columns.get(0), columns.get(1), columns.get(2), columns.get(3));
        }
    }
}
