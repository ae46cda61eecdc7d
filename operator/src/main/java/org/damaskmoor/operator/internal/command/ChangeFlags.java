package org.damaskmoor.operator.internal.command;

import com.github.rvesse.airline.annotations.Option;
import java.util.UUID;
import org.damaskmoor.core.settings.SettingsException;
import org.damaskmoor.operator.ExitCode;
import org.damaskmoor.operator.OperatorClient;
import org.damaskmoor.operator.OperatorException;

/** The flags of commands that change a service. Confined to one thread. */
public final class ChangeFlags {
    private static final String EXPECTED_VERSION = "--expected-version";

    @Option(
            name = EXPECTED_VERSION,
            title = "version",
            description =
                    "The version that is to be replaced; 0: there must be no such service."
                            + " Default: the version that the node holds.")
    private String expectedVersion;

    @Option(
            name = "--operation-id",
            title = "id",
            description =
                    "Name of this change; a repetition with the same name is the same change."
                            + " Default: a random one, which is printed.")
    private String operationId;

    void validate() throws SettingsException {
        if (expectedVersion != null && !expectedVersion.matches("[0-9]{1,18}")) {
            throw NodeCallCommand.invalidValue(
                    EXPECTED_VERSION, expectedVersion, "0 to 999999999999999999");
        }
    }

    /** The id that was given or a random one, told in the notes before the change is sent. */
    String operationId(CommandContext session) {
        String id = operationId == null ? UUID.randomUUID().toString() : operationId;
        session.notes().println("operation id: " + id);
        return id;
    }

    /** The version that was given or the one that the node holds. */
    long expectedVersion(OperatorClient client, String service, CommandContext session)
            throws OperatorException {
        if (expectedVersion != null) {
            return Long.parseLong(expectedVersion);
        }
        long inForce = ask(client, service);
        session.notes()
                .println(
                        inForce == 0
                                ? "expected version: 0, for the node holds no such service"
                                : "expected version: " + inForce + ", which the node holds");
        return inForce;
    }

    /** A change that was never sent was certainly not accepted. */
    private static long ask(OperatorClient client, String service) throws OperatorException {
        try {
            return client.versionInForce(service);
        } catch (OperatorException failure) {
            throw new OperatorException(
                    ExitCode.NOT_ACCEPTED,
                    "The change was not sent: " + failure.getMessage(),
                    failure.reason(),
                    failure.advice());
        }
    }
}
