package org.damaskmoor.core.atmostonce;

import static com.google.common.truth.Truth.assertWithMessage;

import java.util.stream.Stream;
import org.junit.jupiter.api.DynamicTest;
import org.junit.jupiter.api.TestFactory;

class GuardMutationTest {
    private static final int SEEDS = 5_000;

    @TestFactory
    Stream<DynamicTest> should_break_an_invariant_when_a_guard_is_missing() {
        return GuardMutations.all().entrySet().stream()
                .map(
                        mutation ->
                                DynamicTest.dynamicTest(
                                        mutation.getKey(),
                                        () ->
                                                assertDetected(
                                                        mutation.getKey(), mutation.getValue())));
    }

    private static void assertDetected(String mutation, AtMostOnceScenario scenario) {
        assertWithMessage("%s is detected", mutation).that(isDetected(scenario)).isTrue();
    }

    private static boolean isDetected(AtMostOnceScenario scenario) {
        for (long seed = 0; seed < SEEDS; seed++) {
            try {
                new AtMostOnceSimulation(seed, scenario).run();
            } catch (AtMostOnceSimulation.InvariantViolation detected) {
                return true;
            }
        }
        return false;
    }
}
