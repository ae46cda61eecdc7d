package org.damaskmoor.bench;

import com.github.rvesse.airline.Cli;
import com.github.rvesse.airline.parser.errors.ParseException;
import java.util.Arrays;
import java.util.concurrent.Callable;
import org.damaskmoor.bench.platform.PlatformStandInCommand;
import org.damaskmoor.bench.upstream.UpstreamStandInCommand;

/**
 * Entry point of the binary damaskmoor-bench: stand-ins, load callers and the demo.
 *
 * <p>Exit codes: what the command returns; 1 when it failed; 2 when its flags are wrong.
 */
public final class BenchMain {
    private static final int FAILED = 1;
    private static final int WRONG_FLAGS = 2;

    private BenchMain() {}

    public static void main(String[] arguments) {
        System.exit(run(arguments));
    }

    private static int run(String[] arguments) {
        try {
            return cli().parse(arguments).call();
        } catch (ParseException e) {
            System.err.println(e.getMessage());
            return WRONG_FLAGS;
        } catch (Exception e) {
            System.err.println("command=" + Arrays.toString(arguments) + " failed=" + e);
            return FAILED;
        }
    }

    private static Cli<Callable<Integer>> cli() {
        return Cli.<Callable<Integer>>builder("damaskmoor-bench")
                .withCommand(PlatformStandInCommand.class)
                .withCommand(UpstreamStandInCommand.class)
                .build();
    }
}
