package org.damaskmoor.bench.link;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import org.damaskmoor.bench.http.JsonObject;

/**
 * Runs a node behind emulated links. The arguments are {@code --link-file=FILE} and the node's own
 * flags, each as {@code --flag=value}.
 *
 * <p>The link file is reloaded every 200 ms, so that links can be cut while the node runs.
 * Immutable.
 */
public final class EmulatedNode {
    /** The subcommand's name. */
    public static final String NAME = "emulated-node";

    private static final String LINK_FILE = "--link-file=";
    private static final String DATA_CENTRE = "--data-centre=";
    private static final long RELOAD_INTERVAL_MILLISECONDS = 200;

    private final NodeStarter node;

    public EmulatedNode(NodeStarter node) {
        this.node = node;
    }

    /** Runs the node until it exits and returns its exit code. */
    public int run(List<String> arguments) throws Exception {
        Path path = Path.of(value(arguments, LINK_FILE));
        LinkTable links =
                new LinkTable(value(arguments, DATA_CENTRE), read(path), System::nanoTime);
        ScheduledExecutorService reader =
                Executors.newSingleThreadScheduledExecutor(LinkFileReloader::thread);
        var reading =
                reader.scheduleWithFixedDelay(
                        new LinkFileReloader(path, links),
                        RELOAD_INTERVAL_MILLISECONDS,
                        RELOAD_INTERVAL_MILLISECONDS,
                        TimeUnit.MILLISECONDS);
        List<String> flags = new ArrayList<>(arguments);
        flags.removeIf(argument -> argument.startsWith(LINK_FILE));
        try {
            return node.run(flags, links);
        } finally {
            reading.cancel(false);
            reader.shutdown();
        }
    }

    private static String value(List<String> arguments, String flag) {
        return arguments.stream()
                .filter(argument -> argument.startsWith(flag))
                .map(argument -> argument.substring(flag.length()))
                .findFirst()
                .orElseThrow(
                        () ->
                                new IllegalArgumentException(
                                        "required flag is missing: " + flag + "VALUE"));
    }

    static LinkFile read(Path path) throws IOException {
        return new LinkFile(JsonObject.parse(Files.readString(path)));
    }
}
