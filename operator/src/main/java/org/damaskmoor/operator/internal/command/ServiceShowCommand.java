package org.damaskmoor.operator.internal.command;

import com.github.rvesse.airline.annotations.Arguments;
import com.github.rvesse.airline.annotations.Command;
import com.github.rvesse.airline.annotations.help.Examples;
import java.util.Optional;
import org.damaskmoor.core.settings.SettingsException;
import org.damaskmoor.operator.ExitCode;
import org.damaskmoor.operator.OperatorClient;
import org.damaskmoor.operator.OperatorException;
import org.damaskmoor.operator.internal.output.ResponsePrinter;
import org.damaskmoor.schema.configuration.VersionedConfiguration;

/** Shows one service. Confined to one thread. */
@Command(name = "show", description = "Shows the configuration of a service that the node holds.")
@Examples(
        examples = {
            "damaskmoor-operator service show besuch",
            "damaskmoor-operator service show besuch --output json"
        },
        descriptions = {
            "Shows who changed it and when, and the configuration as 'service apply' reads it.",
            "Prints the VersionedConfiguration of the schema."
        })
public final class ServiceShowCommand extends NodeCallCommand {
    @Arguments(title = "service", description = "Name of the service.")
    private String name;

    @Override
    void checkArguments() throws SettingsException {
        require("service", name, "the name of a service");
    }

    @Override
    ExitCode call(OperatorClient client, CommandContext context, ResponsePrinter output)
            throws OperatorException {
        Optional<VersionedConfiguration> found = client.find(name);
        if (found.isEmpty()) {
            throw new OperatorException(
                    ExitCode.FAILED,
                    "There is no service named " + name + ".",
                    "The node holds no such service, or it was deleted.",
                    "List the services with 'service list'.");
        }
        output.printService(found.get());
        return ExitCode.SUCCESS;
    }
}
