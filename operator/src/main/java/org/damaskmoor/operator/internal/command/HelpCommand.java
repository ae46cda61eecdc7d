package org.damaskmoor.operator.internal.command;

import com.github.rvesse.airline.annotations.AirlineModule;
import com.github.rvesse.airline.annotations.Arguments;
import com.github.rvesse.airline.annotations.Command;
import com.github.rvesse.airline.annotations.help.Examples;
import com.github.rvesse.airline.help.Help;
import com.github.rvesse.airline.model.CommandGroupMetadata;
import com.github.rvesse.airline.model.CommandMetadata;
import com.github.rvesse.airline.model.GlobalMetadata;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.ArrayList;
import java.util.List;
import java.util.stream.Stream;
import org.damaskmoor.core.settings.SettingsException;
import org.damaskmoor.operator.ExitCode;

/** Shows the help of the program or of one command. Confined to one thread. */
@Command(name = "help", description = "Shows all commands, or one of them.")
@Examples(
        examples = "damaskmoor-operator help service apply",
        descriptions = "Shows the flags, examples and exit codes of one command.")
public final class HelpCommand implements OperatorCommand {
    @AirlineModule private HelpFlag help = new HelpFlag();
    @AirlineModule private GlobalMetadata<OperatorCommand> program;

    @Arguments(title = "command", description = "The command to show.")
    private List<String> command = new ArrayList<>();

    @Override
    public HelpFlag help() {
        return help;
    }

    @Override
    public ExitCode run(CommandContext context) throws SettingsException {
        if (!command.isEmpty() && !names().contains(command.get(0))) {
            throw NodeCallCommand.invalidValue(
                    "command", command.get(0), String.join(", ", names()));
        }
        try {
            Help.help(program, command, context.output());
        } catch (IOException failure) {
            throw new UncheckedIOException(failure);
        }
        return ExitCode.SUCCESS;
    }

    private List<String> names() {
        return Stream.concat(
                        program.getCommandGroups().stream().map(CommandGroupMetadata::getName),
                        program.getDefaultGroupCommands().stream().map(CommandMetadata::getName))
                .sorted()
                .toList();
    }
}
