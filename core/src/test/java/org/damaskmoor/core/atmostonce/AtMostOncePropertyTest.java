package org.damaskmoor.core.atmostonce;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;

class AtMostOncePropertyTest {
    @Property(tries = 5_000, seed = "20261204")
    void should_run_at_most_once_and_report_not_run_correctly_when_anything_fails(
            @ForAll long seed) {
        new AtMostOnceSimulation(seed, AtMostOnceScenario.nonIdempotentRequests()).run();
    }

    @Property(tries = 2_000, seed = "20261205")
    void should_report_not_run_correctly_when_idempotent_requests_are_retried(@ForAll long seed) {
        new AtMostOnceSimulation(seed, AtMostOnceScenario.idempotentRequests()).run();
    }

    @Property(tries = 5_000, seed = "20261206")
    void should_run_a_key_at_most_once_when_it_is_resent_to_one_target(@ForAll long seed) {
        new AtMostOnceSimulation(seed, AtMostOnceScenario.resends()).run();
    }
}
