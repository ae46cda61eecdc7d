package org.damaskmoor.operator.internal.command;

import com.github.rvesse.airline.annotations.Arguments;
import com.github.rvesse.airline.annotations.Command;
import com.github.rvesse.airline.annotations.Option;
import com.github.rvesse.airline.annotations.help.Examples;
import org.damaskmoor.core.settings.SettingsException;
import org.damaskmoor.operator.ExitCode;
import org.damaskmoor.operator.OperatorClient;
import org.damaskmoor.operator.OperatorException;
import org.damaskmoor.operator.internal.output.ResponsePrinter;
import org.damaskmoor.schema.operator.ExplainRequest;

/** Explains how a request would be routed. Confined to one thread. */
@Command(
        name = "explain",
        description = "Shows how the called node would route a request, and why.")
@Examples(
        examples =
                "damaskmoor-operator explain besuch --caller residence-7 --method POST"
                        + " --path /bookings",
        descriptions = "Shows the matching rule and the current cost of each upstream.")
public final class ExplainCommand extends NodeCallCommand {
    @Arguments(title = "service", description = "Name of the service.")
    private String service;

    @Option(name = "--caller", title = "name", description = "Who sends it. Default: unidentified.")
    private String caller = "";

    @Option(name = "--method", title = "method", description = "Its method. Default: GET.")
    private String method = "";

    @Option(name = "--path", title = "path", description = "Its path. Default: /.")
    private String path = "";

    @Override
    void checkArguments() throws SettingsException {
        require("service", service, "the name of a service");
        if (!path.isEmpty() && !path.startsWith("/")) {
            throw invalidValue("--path", path, "a path that begins with /");
        }
    }

    @Override
    ExitCode call(OperatorClient client, CommandContext context, ResponsePrinter output)
            throws OperatorException {
        ExplainRequest request =
                ExplainRequest.newBuilder()
                        .setService(service)
                        .setCaller(caller)
                        .setMethod(method)
                        .setPath(path)
                        .build();
        output.printExplanation(client.explain(request));
        return ExitCode.SUCCESS;
    }
}
