package org.damaskmoor.soak;

import com.github.rvesse.airline.HelpOption;
import com.github.rvesse.airline.annotations.AirlineModule;
import com.github.rvesse.airline.annotations.Command;
import com.github.rvesse.airline.annotations.Option;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.Callable;
import org.damaskmoor.soak.fault.FaultKind;

/**
 * Runs relays as processes under random faults and checks their guarantees.
 *
 * <pre>{@code
 * damaskmoor soak --seed 1 --seeds 50
 * }</pre>
 *
 * <p>Exit codes: 0 when all guarantees held, 1 when one was violated. Used by one thread.
 */
@Command(name = "soak", description = "Runs relay processes under a fault plan derived from a seed")
public final class SoakCommand implements Callable<Integer> {
    private static final long MILLISECONDS_PER_SECOND = 1000;

    @AirlineModule private HelpOption<SoakCommand> help;

    @Option(name = "--seed", description = "The first seed")
    private long seed = 1;

    @Option(name = "--seeds", description = "Number of seeds, run one after the other")
    private int seeds = 1;

    @Option(
            name = "--regressions",
            description = "File with the seeds to run instead, one per line")
    private String regressions = "";

    @Option(name = "--seconds", description = "Duration of the load for each seed")
    private int seconds = 20;

    @Option(name = "--relays", description = "Number of relays")
    private int relays = 6;

    @Option(name = "--relay-jar", description = "Relay jar under test")
    private String relayJar = "relay/target/damaskmoor-relay.jar";

    @Option(
            name = "--only",
            description = "Inject faults of this kind alone, in close succession: a FaultKind")
    private FaultKind only;

    @Option(
            name = "--known-red",
            description =
                    "Violations that KNOWN-RED.txt lists: a regular expression. They are printed"
                            + " and don't fail the run")
    private String knownRed = "";

    @Override
    public Integer call() throws Exception {
        if (help.showHelpIfRequested()) {
            return 0;
        }
        Path jar = Path.of(relayJar);
        if (!Files.isRegularFile(jar)) {
            System.err.println("Relay jar not found: " + jar + ". Build it or set --relay-jar.");
            return 1;
        }
        int failed = 0;
        for (long current : seedsToRun()) {
            Path directory = Files.createTempDirectory("damaskmoor-soak-" + current + "-");
            System.out.println("seed=" + current + " logs=" + directory);
            SoakRun.Result result =
                    new SoakRun(jar, directory, relays, Optional.ofNullable(only))
                            .run(current, seconds * MILLISECONDS_PER_SECOND);
            List<String> unknown =
                    result.violations().stream().filter(found -> !isKnownRed(found)).toList();
            result.violations().forEach(found -> print(found, !unknown.contains(found)));
            System.out.println(
                    "seed="
                            + current
                            + " broken="
                            + unknown.size()
                            + " requests="
                            + result.outcomes());
            failed += unknown.isEmpty() ? 0 : 1;
        }
        System.out.println("seeds_failed=" + failed);
        return failed == 0 ? 0 : 1;
    }

    private boolean isKnownRed(String violation) {
        return !knownRed.isEmpty() && violation.matches(knownRed);
    }

    private static void print(String violation, boolean isKnownRed) {
        System.out.println((isKnownRed ? "known red: " : "") + violation);
    }

    private List<Long> seedsToRun() throws Exception {
        List<Long> toRun = new ArrayList<>();
        if (regressions.isEmpty()) {
            for (int i = 0; i < seeds; i++) {
                toRun.add(seed + i);
            }
            return toRun;
        }
        for (String line : Files.readAllLines(Path.of(regressions))) {
            if (!line.isBlank() && !line.startsWith("#")) {
                toRun.add(Long.parseLong(line.strip().split("\\s", 2)[0]));
            }
        }
        return toRun;
    }
}
