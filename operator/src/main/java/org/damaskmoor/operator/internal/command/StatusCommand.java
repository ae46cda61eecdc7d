package org.damaskmoor.operator.internal.command;

import com.github.rvesse.airline.annotations.Command;
import com.github.rvesse.airline.annotations.help.Examples;
import org.damaskmoor.operator.ExitCode;
import org.damaskmoor.operator.OperatorClient;
import org.damaskmoor.operator.OperatorException;
import org.damaskmoor.operator.internal.output.ResponsePrinter;

/** Shows the status of all nodes. Confined to one thread. */
@Command(
        name = "status",
        description =
                "Shows all nodes as the called node sees them, and which are behind with the"
                        + " configuration.")
@Examples(
        examples = "damaskmoor-operator status --output json",
        descriptions = "Prints the GetStatusResponse of the schema, for tooling.")
public final class StatusCommand extends NodeCallCommand {
    @Override
    ExitCode call(OperatorClient client, CommandContext context, ResponsePrinter output)
            throws OperatorException {
        output.printStatus(client.status());
        return ExitCode.SUCCESS;
    }
}
