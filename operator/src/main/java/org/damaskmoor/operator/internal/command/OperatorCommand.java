package org.damaskmoor.operator.internal.command;

import org.damaskmoor.core.settings.SettingsException;
import org.damaskmoor.operator.ExitCode;
import org.damaskmoor.operator.OperatorException;

/** One command of the program; Airline sets its arguments. Confined to one thread. */
public interface OperatorCommand {
    /** Returns the help flag, which every command has. */
    HelpFlag help();

    /**
     * Runs the command.
     *
     * @throws SettingsException if a flag or an environment variable has an invalid value
     * @throws OperatorException if the call failed
     */
    ExitCode run(CommandContext context) throws SettingsException, OperatorException;
}
