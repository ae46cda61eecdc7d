package org.damaskmoor.operator.internal.command;

import com.github.rvesse.airline.annotations.AirlineModule;
import com.github.rvesse.airline.annotations.Arguments;
import com.github.rvesse.airline.annotations.Command;
import com.github.rvesse.airline.annotations.help.Examples;
import org.damaskmoor.core.settings.SettingsException;
import org.damaskmoor.operator.ExitCode;
import org.damaskmoor.operator.OperatorClient;
import org.damaskmoor.operator.OperatorException;
import org.damaskmoor.operator.internal.output.ResponsePrinter;

/** Deletes a service. Confined to one thread. */
@Command(name = "delete", description = "Deletes a service; its requests are refused from then on.")
@Examples(
        examples = {
            "damaskmoor-operator service delete besuch",
            "damaskmoor-operator service delete besuch --expected-version 4"
        },
        descriptions = {
            "Deletes the version that the node holds.",
            "Fails with exit code 3 unless version 4 is in force."
        })
public final class ServiceDeleteCommand extends NodeCallCommand {
    @Arguments(title = "service", description = "Name of the service.")
    private String name;

    @AirlineModule private ChangeFlags changeFlags = new ChangeFlags();

    @Override
    void checkArguments() throws SettingsException {
        require("service", name, "the name of a service");
        changeFlags.validate();
    }

    @Override
    ExitCode call(OperatorClient client, CommandContext context, ResponsePrinter output)
            throws OperatorException {
        String operationId = changeFlags.operationId(context);
        long expected = changeFlags.expectedVersion(client, name, context);
        output.printChange("deleted", client.delete(name, expected, operationId));
        return ExitCode.SUCCESS;
    }
}
