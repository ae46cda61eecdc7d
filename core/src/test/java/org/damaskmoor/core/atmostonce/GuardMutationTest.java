package org.damaskmoor.core.atmostonce;

import static com.google.common.truth.Truth.assertWithMessage;

import java.util.stream.Stream;
import org.junit.jupiter.api.DynamicTest;
import org.junit.jupiter.api.TestFactory;

class GuardMutationTest {
    private static final int WORLDS = 5_000;

    @TestFactory
    Stream<DynamicTest> should_break_an_invariant_when_a_guard_is_missing() {
        return GuardMutations.all().entrySet().stream()
                .map(
                        guard ->
                                DynamicTest.dynamicTest(
                                        guard.getKey(),
                                        () -> assertCaught(guard.getKey(), guard.getValue())));
    }

    private static void assertCaught(String fault, AtMostOnceScenario setup) {
        assertWithMessage("%s is caught", fault).that(isCaught(setup)).isTrue();
    }

    private static boolean isCaught(AtMostOnceScenario setup) {
        for (long seed = 0; seed < WORLDS; seed++) {
            try {
                new AtMostOnceSimulation(seed, setup).run();
            } catch (AtMostOnceSimulation.BrokenInvariant caught) {
                return true;
            }
        }
        return false;
    }
}
