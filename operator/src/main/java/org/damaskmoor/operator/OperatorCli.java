package org.damaskmoor.operator;

import com.github.rvesse.airline.Cli;
import com.github.rvesse.airline.builder.CliBuilder;
import com.github.rvesse.airline.parser.errors.ParseException;
import java.util.List;
import org.damaskmoor.core.settings.SettingsException;
import org.damaskmoor.operator.internal.command.CommandContext;
import org.damaskmoor.operator.internal.command.CompletionCommand;
import org.damaskmoor.operator.internal.command.DrainCommand;
import org.damaskmoor.operator.internal.command.ExplainCommand;
import org.damaskmoor.operator.internal.command.HelpCommand;
import org.damaskmoor.operator.internal.command.OperatorCommand;
import org.damaskmoor.operator.internal.command.ServiceApplyCommand;
import org.damaskmoor.operator.internal.command.ServiceDeleteCommand;
import org.damaskmoor.operator.internal.command.ServiceListCommand;
import org.damaskmoor.operator.internal.command.ServiceShowCommand;
import org.damaskmoor.operator.internal.command.StatusCommand;

/**
 * Command-line interface of damaskmoor-operator: parses a command line, runs it, and reports
 * failures.
 *
 * <pre>{@code
 * ExitCode code = new OperatorCli(context).run("service", "list");
 * }</pre>
 *
 * <p>Confined to one thread.
 */
public final class OperatorCli {
    private static final String NAME = "damaskmoor-operator";

    private final CommandContext context;

    public OperatorCli(CommandContext context) {
        this.context = context;
    }

    /** Runs one command line. */
    public ExitCode run(String... arguments) {
        try {
            OperatorCommand command = commands().parse(arguments);
            if (command.help().isRequested()) {
                command.help().show(context.output());
                return ExitCode.SUCCESS;
            }
            return command.run(context);
        } catch (ParseException | SettingsException unusable) {
            return reportFailure(
                    ExitCode.BAD_USAGE,
                    "The command line or an environment variable is wrong; nothing was sent.",
                    unusable.getMessage(),
                    "See '" + NAME + " help' or the command's --help.");
        } catch (OperatorException failure) {
            return reportFailure(
                    failure.exitCode(), failure.getMessage(), failure.reason(), failure.advice());
        }
    }

    private ExitCode reportFailure(ExitCode code, String happened, String reason, String advice) {
        context.errorOutput().println(NAME + ": " + happened);
        context.errorOutput().println("why: " + reason);
        context.errorOutput().println("what to do: " + advice);
        return code;
    }

    private static Cli<OperatorCommand> commands() {
        CliBuilder<OperatorCommand> builder =
                Cli.<OperatorCommand>builder(NAME)
                        .withDescription("Queries and changes damaskmoor through any node.")
                        .withDefaultCommand(HelpCommand.class)
                        .withCommands(
                                List.of(
                                        HelpCommand.class,
                                        StatusCommand.class,
                                        DrainCommand.class,
                                        ExplainCommand.class,
                                        CompletionCommand.class));
        builder.withGroup("service")
                .withDescription("Creates, changes, shows and deletes services.")
                .withDefaultCommand(ServiceListCommand.class)
                .withCommands(
                        List.of(
                                ServiceApplyCommand.class,
                                ServiceShowCommand.class,
                                ServiceListCommand.class,
                                ServiceDeleteCommand.class));
        return builder.build();
    }
}
