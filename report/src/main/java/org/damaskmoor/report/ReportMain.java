package org.damaskmoor.report;

import com.github.rvesse.airline.Cli;
import com.github.rvesse.airline.help.Help;
import com.github.rvesse.airline.model.GlobalMetadata;
import com.github.rvesse.airline.parser.errors.ParseException;
import java.io.IOException;
import java.io.PrintStream;
import java.time.Instant;
import java.util.List;
import java.util.Optional;
import org.damaskmoor.platform.PlatformException;
import org.damaskmoor.report.internal.BurnCommand;
import org.damaskmoor.report.internal.InvalidOptionException;
import org.damaskmoor.report.internal.RefusalsCommand;
import org.damaskmoor.report.internal.ReportCommand;

/**
 * Entry point of the binary damaskmoor-report, which reports refusals by caller and reason, and
 * error budget burn rates.
 *
 * <p>Exit codes: 0 report written, 1 unexpected failure, 2 invalid option, 3 platform did not
 * answer. Stateless and thread-safe.
 */
public final class ReportMain {
    private static final int UNEXPECTED_FAILURE = 1;
    private static final int INVALID_OPTION = 2;
    private static final int PLATFORM_UNAVAILABLE = 3;

    private ReportMain() {}

    public static void main(String[] arguments) {
        System.setProperty("java.awt.headless", "true");
        System.exit(run(arguments, System.out, System.err, Instant.now()));
    }

    /** Runs a command and returns the exit code. */
    public static int run(String[] arguments, PrintStream out, PrintStream err, Instant now) {
        Cli<ReportCommand> cli =
                Cli.<ReportCommand>builder("damaskmoor-report")
                        .withDescription("Reports on refusals and service levels.")
                        .withCommands(RefusalsCommand.class, BurnCommand.class)
                        .build();
        try {
            if (asksForHelp(arguments)) {
                help(cli.getMetadata(), out);
                return 0;
            }
            cli.parse(arguments).run(out, now);
            return 0;
        } catch (ParseException | InvalidOptionException invalid) {
            err.println("damaskmoor-report: " + invalid.getMessage() + " See --help.");
            return INVALID_OPTION;
        } catch (IOException failure) {
            err.println(
                    "damaskmoor-report: the report could not be written: " + failure.getMessage());
            return UNEXPECTED_FAILURE;
        } catch (RuntimeException failure) {
            return reportFailure(failure, err);
        }
    }

    private static boolean asksForHelp(String[] arguments) {
        return arguments.length == 0 || List.of("help", "--help", "-h").contains(arguments[0]);
    }

    private static void help(GlobalMetadata<ReportCommand> metadata, PrintStream out)
            throws IOException {
        Help.help(metadata, List.of(), out);
        out.println("Each command explains its options, exit codes and an example with --help.");
        out.println(
                "Exit codes: 0 report written, 1 unexpected failure, 2 invalid option, 3 platform"
                        + " did not answer.");
    }

    private static int reportFailure(RuntimeException failure, PrintStream err) {
        Optional<PlatformException> platform = PlatformException.findIn(failure);
        err.println(
                "damaskmoor-report: "
                        + platform.map(Throwable::getMessage).orElse(String.valueOf(failure)));
        return platform.isPresent() ? PLATFORM_UNAVAILABLE : UNEXPECTED_FAILURE;
    }
}
