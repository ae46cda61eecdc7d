package org.damaskmoor.operator.internal.command;

import org.damaskmoor.core.settings.SettingsException;
import org.damaskmoor.operator.ExitCode;
import org.damaskmoor.operator.OperatorException;

/** One command of the program, filled in by Airline. Confined to one thread. */
public interface OperatorCommand {
    /** The flag for help, which every command has. */
    HelpFlag help();

    /**
     * Does what is asked.
     *
     * @throws SettingsException when a flag or an environment variable has a bad value
     * @throws OperatorException when the call did not succeed
     */
    ExitCode run(CommandContext session) throws SettingsException, OperatorException;
}
