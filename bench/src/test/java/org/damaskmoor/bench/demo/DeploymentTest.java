package org.damaskmoor.bench.demo;

import static com.google.common.truth.Truth.assertThat;

import java.io.IOException;
import java.nio.file.Path;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class DeploymentTest {
    private static final Path EXAMPLES = Path.of("..", "examples");

    @ParameterizedTest
    @CsvSource({"bern, 5, 7", "cotizar, 5, 6"})
    void should_have_the_upstreams_of_the_deployment_when_read(String name, int first, int second)
            throws IOException {
        Deployment deployment = Deployment.read(EXAMPLES.resolve(name + ".json"));

        assertThat(deployment.services().stream().map(Deployment.Service::upstreams).toList())
                .containsExactly(first, second)
                .inOrder();
        assertThat(deployment.dataCentres().names()).hasSize(4);
    }

    @Test
    void should_assign_own_ports_and_all_data_centres_when_laid_out() throws IOException {
        List<EmulatedVm> vms = VmLayout.of(Deployment.read(EXAMPLES.resolve("bern.json")), 21_000);

        assertThat(vms.stream().map(EmulatedVm::basePort).distinct().count()).isEqualTo(12);
        assertThat(vms.stream().map(EmulatedVm::dataCentre).distinct().count()).isEqualTo(4);
    }
}
