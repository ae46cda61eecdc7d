package org.damaskmoor.soak;

import com.github.rvesse.airline.annotations.Command;
import com.github.rvesse.airline.annotations.Option;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.Callable;

/**
 * Runs relays as processes under random faults and checks that no promise broke.
 *
 * <pre>{@code
 * damaskmoor soak --seed 1 --seeds 50
 * }</pre>
 *
 * <p>Exit codes: 0 when every promise held, 1 when one broke. Used by one thread.
 */
@Command(name = "soak", description = "Relays as processes under a seeded plan of faults")
public final class SoakCommand implements Callable<Integer> {
    private static final long MILLISECONDS_PER_SECOND = 1000;

    @Option(name = "--seed", description = "The first seed")
    private long seed = 1;

    @Option(name = "--seeds", description = "How many seeds, one after the other")
    private int seeds = 1;

    @Option(name = "--regressions", description = "File of seeds to play instead, one a line")
    private String regressions = "";

    @Option(name = "--seconds", description = "Length of the load of each seed")
    private int seconds = 20;

    @Option(name = "--relays", description = "How many relays")
    private int relays = 6;

    @Option(name = "--relay-jar", description = "The program under test")
    private String relayJar = "relay/target/damaskmoor-relay.jar";

    @Override
    public Integer call() throws Exception {
        Path jar = Path.of(relayJar);
        if (!Files.isRegularFile(jar)) {
            System.err.println(
                    "There is no relay at " + jar + ". Build it, or name it with --relay-jar.");
            return 1;
        }
        int failed = 0;
        for (long played : seedsToPlay()) {
            Path directory = Files.createTempDirectory("damaskmoor-soak-" + played + "-");
            System.out.println("seed=" + played + " logs=" + directory);
            SoakRun.Result result =
                    new SoakRun(jar, directory, relays)
                            .play(played, seconds * MILLISECONDS_PER_SECOND);
            result.broken().forEach(System.out::println);
            System.out.println(
                    "seed="
                            + played
                            + " broken="
                            + result.broken().size()
                            + " requests="
                            + result.ends());
            failed += result.broken().isEmpty() ? 0 : 1;
        }
        System.out.println("seeds_failed=" + failed);
        return failed == 0 ? 0 : 1;
    }

    private List<Long> seedsToPlay() throws Exception {
        List<Long> toPlay = new ArrayList<>();
        if (regressions.isEmpty()) {
            for (int i = 0; i < seeds; i++) {
                toPlay.add(seed + i);
            }
            return toPlay;
        }
        for (String line : Files.readAllLines(Path.of(regressions))) {
            if (!line.isBlank() && !line.startsWith("#")) {
                toPlay.add(Long.parseLong(line.strip().split("\\s", 2)[0]));
            }
        }
        return toPlay;
    }
}
