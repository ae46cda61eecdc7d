package org.damaskmoor.operator.internal.command;

import com.github.rvesse.airline.annotations.Command;
import com.github.rvesse.airline.annotations.help.Examples;
import org.damaskmoor.operator.ExitCode;
import org.damaskmoor.operator.OperatorClient;
import org.damaskmoor.operator.OperatorException;
import org.damaskmoor.operator.internal.output.ResponsePrinter;

/** Lists all services. Confined to one thread. */
@Command(name = "list", description = "Lists the services that the node holds.")
@Examples(
        examples = "damaskmoor-operator service list --node 10.0.0.7:7403",
        descriptions =
                "A line for each service: version, who changed it and when, number of rules.")
public final class ServiceListCommand extends NodeCallCommand {
    @Override
    ExitCode call(OperatorClient client, CommandContext context, ResponsePrinter output)
            throws OperatorException {
        output.printServices(client.list());
        return ExitCode.SUCCESS;
    }
}
