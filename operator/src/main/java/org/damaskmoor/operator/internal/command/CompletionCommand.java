package org.damaskmoor.operator.internal.command;

import com.github.rvesse.airline.annotations.AirlineModule;
import com.github.rvesse.airline.annotations.Arguments;
import com.github.rvesse.airline.annotations.Command;
import com.github.rvesse.airline.annotations.help.Examples;
import com.github.rvesse.airline.model.GlobalMetadata;
import org.damaskmoor.core.settings.SettingsException;
import org.damaskmoor.operator.ExitCode;
import org.damaskmoor.operator.internal.completion.BashCompletion;

/** Prints a script for shell completion. Confined to one thread. */
@Command(name = "completion", description = "Prints a completion script for bash.")
@Examples(
        examples = "source <(damaskmoor-operator completion bash)",
        descriptions = "Completes commands and flags in this shell.")
public final class CompletionCommand implements OperatorCommand {
    private static final String BASH = "bash";

    @AirlineModule private HelpFlag help = new HelpFlag();
    @AirlineModule private GlobalMetadata<OperatorCommand> program;

    @Arguments(title = "shell", description = "The shell: bash. Default: bash.")
    private String shell = BASH;

    @Override
    public HelpFlag help() {
        return help;
    }

    @Override
    public ExitCode run(CommandContext context) throws SettingsException {
        if (!shell.equals(BASH)) {
            throw NodeCallCommand.invalidValue("shell", shell, BASH);
        }
        context.output().print(new BashCompletion(program).script());
        return ExitCode.SUCCESS;
    }
}
