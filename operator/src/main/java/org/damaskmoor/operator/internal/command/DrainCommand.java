package org.damaskmoor.operator.internal.command;

import com.github.rvesse.airline.annotations.Arguments;
import com.github.rvesse.airline.annotations.Command;
import com.github.rvesse.airline.annotations.help.Examples;
import org.damaskmoor.core.settings.SettingsException;
import org.damaskmoor.operator.ExitCode;
import org.damaskmoor.operator.OperatorClient;
import org.damaskmoor.operator.OperatorException;
import org.damaskmoor.operator.internal.output.ResponsePrinter;
import org.damaskmoor.schema.operator.DrainNodeResponse;

/** Drains a node. Confined to one thread. */
@Command(
        name = "drain",
        description =
                "Drains the upstream of a node: it accepts no new requests and finishes those in"
                        + " flight.")
@Examples(
        examples = "damaskmoor-operator drain besuch-3 --node 10.0.0.9:7403",
        descriptions =
                "Calls the operator port of besuch-3 itself; the name guards against draining"
                        + " another node.")
public final class DrainCommand extends NodeCallCommand {
    @Arguments(title = "node", description = "Id of the node, which must be the one called.")
    private String node;

    @Override
    void checkArguments() throws SettingsException {
        require("node", node, "the id of the node that --node addresses");
    }

    @Override
    ExitCode call(OperatorClient client, CommandContext context, ResponsePrinter output)
            throws OperatorException {
        DrainNodeResponse response = client.drain(node);
        if (!response.getStarted()) {
            throw new OperatorException(
                    ExitCode.FAILED,
                    "The node " + node + " was not drained.",
                    response.getDetail(),
                    "Give the operator port of " + node + " with --node.");
        }
        output.printDrain(node, response);
        return ExitCode.SUCCESS;
    }
}
