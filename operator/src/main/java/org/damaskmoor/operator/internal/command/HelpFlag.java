package org.damaskmoor.operator.internal.command;

import com.github.rvesse.airline.annotations.AirlineModule;
import com.github.rvesse.airline.annotations.Option;
import com.github.rvesse.airline.help.Help;
import com.github.rvesse.airline.model.CommandGroupMetadata;
import com.github.rvesse.airline.model.CommandMetadata;
import com.github.rvesse.airline.model.GlobalMetadata;
import java.io.IOException;
import java.io.PrintStream;
import java.io.UncheckedIOException;
import java.util.List;

/** The flag {@code --help}, which shows the help of a command. Confined to one thread. */
public final class HelpFlag {
    @AirlineModule private GlobalMetadata<OperatorCommand> program;
    @AirlineModule private CommandMetadata command;

    @Option(
            name = {"-h", "--help"},
            description = "Shows what the command does, its flags, examples and exit codes.")
    private boolean requested;

    /** Returns whether help was requested. */
    public boolean isRequested() {
        return requested;
    }

    /** Shows the help of the command. */
    public void show(PrintStream output) {
        try {
            Help.help(program, path(), output);
        } catch (IOException failure) {
            throw new UncheckedIOException(failure);
        }
    }

    /** Returns the name of the command, preceded by that of its group if it has one. */
    private List<String> path() {
        for (CommandGroupMetadata group : program.getCommandGroups()) {
            if (group.getCommands().contains(command)) {
                return List.of(group.getName(), command.getName());
            }
        }
        return List.of(command.getName());
    }
}
