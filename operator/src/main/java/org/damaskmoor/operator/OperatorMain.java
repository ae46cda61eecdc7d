package org.damaskmoor.operator;

import java.util.logging.Level;
import java.util.logging.Logger;
import org.damaskmoor.operator.internal.command.CommandContext;

/** Entry point of the binary damaskmoor-operator. */
public final class OperatorMain {
    private static final Logger TRANSPORT_LOGGER = Logger.getLogger("io.grpc");

    private OperatorMain() {}

    public static void main(String[] arguments) {
        TRANSPORT_LOGGER.setLevel(Level.SEVERE);
        CommandContext context =
                new CommandContext(System.getenv(), System.in, System.out, System.err);
        System.exit(new OperatorCli(context).run(arguments).code());
    }
}
