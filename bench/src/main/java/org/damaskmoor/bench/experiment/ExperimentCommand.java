package org.damaskmoor.bench.experiment;

import com.github.rvesse.airline.annotations.Command;
import com.github.rvesse.airline.annotations.Option;
import com.github.rvesse.airline.annotations.restrictions.Required;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.Callable;
import java.util.logging.Level;
import java.util.logging.Logger;

/**
 * Compares the product with baseline policies in each scenario of a file. Confined to one thread.
 *
 * <p>Exit code 0 when every bound is met, 1 when one is missed or can't be measured.
 */
@Command(
        name = "experiment",
        description = "Compares load balancing policies with real nodes over loopback")
public final class ExperimentCommand implements Callable<Integer> {
    private static final Logger NODE_LOGGER = Logger.getLogger("org.damaskmoor");
    private static final double COMPILER_WARM_UP_SECONDS = 5;

    @Option(name = "--scenario-file", description = "Scenario file (JSON)")
    private String scenarioFile = "examples/experiments.json";

    @Option(name = "--scenario", description = "Runs this scenario only; may be repeated")
    private List<String> scenarioNames = new ArrayList<>();

    @Option(name = "--policy", description = "Runs this policy only; may be repeated")
    private List<String> policyLabels = new ArrayList<>();

    @Option(name = "--seconds", description = "Duration of the measured load")
    private double seconds = 10;

    @Option(name = "--seed", description = "Random seed of load and faults")
    private long seed = 1;

    @Option(name = "--output-directory", description = "Directory for results and plots")
    @Required
    private String outputDirectory;

    @Override
    public Integer call() throws Exception {
        System.setProperty("java.awt.headless", "true");
        NODE_LOGGER.setLevel(Level.SEVERE);
        List<Scenario> scenarios = selectedScenarios();
        List<Policy> selected = selectedPolicies();
        Path directory = Files.createDirectories(Path.of(outputDirectory));
        System.out.println(
                "a request without a useful answer counts with "
                        + CallStatistics.FAILURE_MILLISECONDS
                        + " ms; seed="
                        + seed
                        + " seconds="
                        + seconds);
        warmUpCompiler(scenarios.get(0));
        boolean allMet = true;
        for (Scenario scenario : scenarios) {
            allMet &= run(scenario, selected, directory);
        }
        return allMet ? 0 : 1;
    }

    private List<Scenario> selectedScenarios() throws IOException {
        List<Scenario> all = ScenarioFile.parse(Files.readString(Path.of(scenarioFile)));
        List<String> known = all.stream().map(Scenario::name).toList();
        for (String name : scenarioNames) {
            if (!known.contains(name)) {
                throw new IllegalArgumentException(
                        "--scenario: no scenario " + name + " in " + scenarioFile);
            }
        }
        return all.stream()
                .filter(
                        scenario ->
                                scenarioNames.isEmpty() || scenarioNames.contains(scenario.name()))
                .toList();
    }

    private List<Policy> selectedPolicies() {
        return policyLabels.isEmpty()
                ? List.of(Policy.values())
                : policyLabels.stream().map(Policy::fromLabel).toList();
    }

    /** Warms up the JIT compiler, so that the first policy isn't measured in interpreted code. */
    private void warmUpCompiler(Scenario scenario) throws IOException, InterruptedException {
        new PolicyRun(scenario, COMPILER_WARM_UP_SECONDS, seed).run(Policy.PRODUCT);
    }

    private boolean run(Scenario scenario, List<Policy> selected, Path directory)
            throws IOException, InterruptedException {
        List<PolicyResult> results = new ArrayList<>();
        for (Policy policy : selected) {
            results.add(new PolicyRun(scenario, seconds, seed).run(policy));
        }
        List<Verdict> verdicts = Verdict.of(scenario, results);
        System.out.print(ResultTable.formatTable(results));
        System.out.print(ResultTable.formatUserViews(results));
        verdicts.forEach(verdict -> System.out.println(verdict.toLine()));
        System.out.println();
        LatencyPlot.write(scenario.name(), results, directory.resolve(scenario.name() + ".png"));
        append(
                directory.resolve("results.jsonl"),
                results.stream().map(ResultTable::toJson).toList());
        append(directory.resolve("verdicts.txt"), verdicts.stream().map(Verdict::toLine).toList());
        return verdicts.stream().allMatch(verdict -> verdict.status().equals("met"));
    }

    private static void append(Path file, List<String> lines) throws IOException {
        Files.write(file, lines, StandardOpenOption.CREATE, StandardOpenOption.APPEND);
    }
}
