package org.damaskmoor.bench.experiment;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import org.damaskmoor.bench.experiment.Scenario.FaultKind;
import org.junit.jupiter.api.Test;

class ScenarioFileTest {
    @Test
    void should_read_the_example_file() throws Exception {
        // when
        List<Scenario> scenarios =
                ScenarioFile.parse(Files.readString(Path.of("../examples/experiments.json")));

        // then
        assertThat(scenarios.stream().map(Scenario::name))
                .containsAtLeast("steady", "shifting", "fail-fast", "overload", "cold-start");
        Scenario shifting = scenarios.get(1);
        assertThat(shifting.fault().kind()).isEqualTo(FaultKind.SLOW_SPELLS);
        assertThat(shifting.requestsPerSecond()).isWithin(1e-6).of(0.6 * 6 * 10 * 25);
    }

    @Test
    void should_name_every_invalid_field() {
        // given
        String file =
                """
                {"scenarios": [{"load": 0, "slots": "many", "service_milliseconds": 10,
                  "sites": [{"data_centre": "spiez", "region": "oberland", "upstreams": 1, "x": 1}],
                  "entry_region": "mittelland", "booking_share": 2,
                  "fault": {"kind": "earthquake", "upstreams": 3},
                  "bounds": {"p98_of_two_choices": 1}}], "comment": ""}
                """;

        // when
        var failure = assertThrows(IllegalArgumentException.class, () -> ScenarioFile.parse(file));

        // then
        for (String field :
                List.of(
                        "scenarios[0].name ",
                        "scenarios[0].load ",
                        "scenarios[0].slots ",
                        "scenarios[0].sites[0].x ",
                        "scenarios[0].entry_region ",
                        "scenarios[0].booking_share ",
                        "scenarios[0].fault.kind ",
                        "scenarios[0].fault.upstreams ",
                        "scenarios[0].bounds.p98_of_two_choices ",
                        "comment ")) {
            assertThat(failure).hasMessageThat().contains(field);
        }
    }
}
