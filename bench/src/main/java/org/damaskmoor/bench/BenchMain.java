package org.damaskmoor.bench;

import com.github.rvesse.airline.Cli;
import com.github.rvesse.airline.help.Help;
import com.github.rvesse.airline.parser.errors.ParseException;
import java.util.Arrays;
import java.util.List;
import java.util.Set;
import java.util.concurrent.Callable;
import org.damaskmoor.bench.capacity.CapacityCommand;
import org.damaskmoor.bench.demo.DemoCommand;
import org.damaskmoor.bench.demo.LoadCommand;
import org.damaskmoor.bench.experiment.AddedLatencyCommand;
import org.damaskmoor.bench.experiment.ExperimentCommand;
import org.damaskmoor.bench.link.EmulatedNode;
import org.damaskmoor.bench.platform.PlatformStandInCommand;
import org.damaskmoor.bench.soak.PropagationCommand;
import org.damaskmoor.bench.soak.SoakCommand;
import org.damaskmoor.bench.upstream.UpstreamStandInCommand;
import org.damaskmoor.mesh.ChannelCustomizer;
import org.damaskmoor.node.NodeMain;

/**
 * Entry point of the binary damaskmoor-bench: the demo, load generators, experiments, capacity
 * measurements and stand-ins for the platform and upstreams.
 *
 * <p>Exit code: that of the command; 1 when it fails with an exception; 2 when its flags are
 * invalid.
 */
public final class BenchMain {
    private static final Set<String> HELP = Set.of("-h", "--help", "help");
    private static final int FAILED = 1;
    private static final int INVALID_FLAGS = 2;

    private BenchMain() {}

    public static void main(String[] arguments) {
        System.exit(run(arguments));
    }

    private static int run(String[] arguments) {
        try {
            if (arguments.length > 0 && arguments[0].equals(EmulatedNode.NAME)) {
                return new EmulatedNode(BenchMain::runNode)
                        .run(List.of(arguments).subList(1, arguments.length));
            }
            boolean helpRequested = arguments.length > 0 && HELP.contains(arguments[0]);
            if (helpRequested || arguments.length == 0) {
                Help.help(cli().getMetadata(), List.of());
                return helpRequested ? 0 : INVALID_FLAGS;
            }
            return cli().parse(arguments).call();
        } catch (ParseException e) {
            System.err.println(e.getMessage());
            return INVALID_FLAGS;
        } catch (Exception e) {
            System.err.println("command=" + Arrays.toString(arguments) + " failed=" + e);
            return FAILED;
        }
    }

    /** Runs the node until this process gets SIGTERM; the node stops in a shutdown hook. */
    private static int runNode(List<String> flags, ChannelCustomizer customizer) {
        return NodeMain.run(flags.toArray(String[]::new), customizer);
    }

    private static Cli<Callable<Integer>> cli() {
        return Cli.<Callable<Integer>>builder("damaskmoor-bench")
                .withCommand(CapacityCommand.class)
                .withCommand(DemoCommand.class)
                .withCommand(LoadCommand.class)
                .withCommand(SoakCommand.class)
                .withCommand(PropagationCommand.class)
                .withCommand(ExperimentCommand.class)
                .withCommand(AddedLatencyCommand.class)
                .withCommand(PlatformStandInCommand.class)
                .withCommand(UpstreamStandInCommand.class)
                .build();
    }
}
