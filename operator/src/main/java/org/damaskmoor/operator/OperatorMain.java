package org.damaskmoor.operator;

import java.util.logging.Level;
import java.util.logging.Logger;
import org.damaskmoor.operator.internal.command.Session;

/** Entry point of the binary damaskmoor-operator. */
public final class OperatorMain {
    private static final Logger TRANSPORT_LOGGER = Logger.getLogger("io.grpc");

    private OperatorMain() {}

    public static void main(String[] arguments) {
        TRANSPORT_LOGGER.setLevel(Level.SEVERE);
        Session session = new Session(System.getenv(), System.in, System.out, System.err);
        System.exit(new OperatorProgram(session).run(arguments).code());
    }
}
