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

/** The flag by which a command shows its own help. Confined to one thread. */
public final class HelpFlag {
    @AirlineModule private GlobalMetadata<OperatorCommand> program;
    @AirlineModule private CommandMetadata command;

    @Option(
            name = {"-h", "--help"},
            description = "Shows what the command does, its flags, examples and exit codes.")
    private boolean asked;

    /** Whether help was asked for. */
    public boolean isRequested() {
        return asked;
    }

    /** Shows the help of the command. */
    public void show(PrintStream output) {
        try {
            Help.help(program, path(), output);
        } catch (IOException failure) {
            throw new UncheckedIOException(failure);
        }
    }

    /** The words that lead to the command, its group first. */
    private List<String> path() {
        for (CommandGroupMetadata group : program.getCommandGroups()) {
            if (group.getCommands().contains(command)) {
                return List.of(group.getName(), command.getName());
            }
        }
        return List.of(command.getName());
    }
}
