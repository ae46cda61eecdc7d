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
 * Compares policies in the scenarios of a file. Used by one thread.
 *
 * <p>Exit code 0 when every bound was met, 1 when one was missed or could not be measured.
 */
@Command(name = "experiment", description = "Compares policies with real nodes over loopback")
public final class ExperimentCommand implements Callable<Integer> {
    private static final Logger NODE_LOG = Logger.getLogger("org.damaskmoor");
    private static final double COMPILE_SECONDS = 5;

    @Option(name = "--scenario-file", description = "File with the scenarios")
    private String scenarioFile = "examples/experiments.json";

    @Option(name = "--scenario", description = "Runs this scenario only; may be repeated")
    private List<String> names = new ArrayList<>();

    @Option(name = "--policy", description = "Runs this policy only; may be repeated")
    private List<String> policies = new ArrayList<>();

    @Option(name = "--seconds", description = "Length of the measured load")
    private double seconds = 10;

    @Option(name = "--seed", description = "Seed of load and faults")
    private long seed = 1;

    @Option(name = "--output-directory", description = "Where results and plots are written")
    @Required
    private String outputDirectory;

    @Override
    public Integer call() throws Exception {
        System.setProperty("java.awt.headless", "true");
        NODE_LOG.setLevel(Level.SEVERE);
        List<Scenario> scenarios = chosenScenarios();
        List<Policy> chosen = chosenPolicies();
        Path directory = Files.createDirectories(Path.of(outputDirectory));
        System.out.println(
                "a request without a useful answer counts with "
                        + CallStatistics.FAILURE_MILLISECONDS
                        + " ms; seed="
                        + seed
                        + " seconds="
                        + seconds);
        compile(scenarios.get(0));
        boolean held = true;
        for (Scenario scenario : scenarios) {
            held &= run(scenario, chosen, directory);
        }
        return held ? 0 : 1;
    }

    private List<Scenario> chosenScenarios() throws IOException {
        List<Scenario> all = ScenarioFile.parse(Files.readString(Path.of(scenarioFile)));
        List<String> known = all.stream().map(Scenario::name).toList();
        for (String name : names) {
            if (!known.contains(name)) {
                throw new IllegalArgumentException("--scenario has no value " + name);
            }
        }
        return all.stream()
                .filter(scenario -> names.isEmpty() || names.contains(scenario.name()))
                .toList();
    }

    private List<Policy> chosenPolicies() {
        return policies.isEmpty()
                ? List.of(Policy.values())
                : policies.stream().map(Policy::fromLabel).toList();
    }

    /** Runs the product once in vain, so that the first policy isn't measured uncompiled. */
    private void compile(Scenario scenario) throws IOException, InterruptedException {
        new PolicyRun(scenario, COMPILE_SECONDS, seed).run(Policy.PRODUCT);
    }

    private boolean run(Scenario scenario, List<Policy> chosen, Path directory)
            throws IOException, InterruptedException {
        List<PolicyResult> results = new ArrayList<>();
        for (Policy policy : chosen) {
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
