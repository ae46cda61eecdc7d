package org.damaskmoor.operator.internal.command;

import com.github.rvesse.airline.annotations.AirlineModule;
import com.github.rvesse.airline.annotations.Command;
import com.github.rvesse.airline.annotations.Option;
import com.github.rvesse.airline.annotations.help.Examples;
import org.damaskmoor.core.settings.SettingsException;
import org.damaskmoor.operator.ExitCode;
import org.damaskmoor.operator.OperatorClient;
import org.damaskmoor.operator.OperatorException;
import org.damaskmoor.operator.internal.output.ResponsePrinter;
import org.damaskmoor.schema.configuration.ServiceConfiguration;

/** Creates or changes a service. Confined to one thread. */
@Command(name = "apply", description = "Creates or changes a service from a file.")
@Examples(
        examples = {
            "damaskmoor-operator service apply --file besuch.json",
            "damaskmoor-operator service apply --file besuch.json --expected-version 4"
                    + " --node 10.0.0.7:7403",
            "damaskmoor-operator service apply --file besuch.json --operation-id 2f9c"
        },
        descriptions = {
            "Replaces the version that the node holds, or creates the service.",
            "Fails with exit code 3 unless version 4 is in force.",
            "Repeats a change whose outcome was unknown."
        })
public final class ServiceApplyCommand extends NodeCallCommand {
    @Option(
            name = "--file",
            title = "file",
            description = "The service as JSON (ServiceConfiguration); - reads standard input.")
    private String file;

    @AirlineModule private ChangeFlags changeFlags = new ChangeFlags();

    @Override
    void checkArguments() throws SettingsException {
        require("--file", file, "the name of a JSON file, or - for standard input");
        changeFlags.validate();
    }

    @Override
    ExitCode call(OperatorClient client, CommandContext context, ResponsePrinter output)
            throws SettingsException, OperatorException {
        ServiceConfiguration service = ServiceFile.read(file, context.input());
        String operationId = changeFlags.operationId(context);
        long expected = changeFlags.expectedVersion(client, service.getName(), context);
        output.printChange("applied", client.apply(service, expected, operationId));
        return ExitCode.SUCCESS;
    }
}
