package org.damaskmoor.operator.internal.command;

import com.github.rvesse.airline.annotations.Option;
import java.util.UUID;
import org.damaskmoor.core.settings.SettingsException;
import org.damaskmoor.operator.ExitCode;
import org.damaskmoor.operator.OperatorClient;
import org.damaskmoor.operator.OperatorException;

/** Flags of commands that change a service. Confined to one thread. */
public final class ChangeFlags {
    private static final String EXPECTED_VERSION = "--expected-version";

    @Option(
            name = EXPECTED_VERSION,
            title = "version",
            description =
                    "The version to replace; 0: the service must not exist yet."
                            + " Default: the version that the node holds.")
    private String expectedVersion;

    @Option(
            name = "--operation-id",
            title = "id",
            description =
                    "Id of this change; repeating it with the same id does not apply it twice."
                            + " Default: a random one, which is printed.")
    private String operationId;

    void validate() throws SettingsException {
        if (expectedVersion != null && !expectedVersion.matches("[0-9]{1,18}")) {
            throw NodeCallCommand.invalidValue(
                    EXPECTED_VERSION, expectedVersion, "0 to 999999999999999999");
        }
    }

    /**
     * Returns the value of the flag or a random id. Prints it before the change is sent, so that
     * the operator can repeat the change if the outcome is unknown.
     */
    String operationId(CommandContext context) {
        String id = operationId == null ? UUID.randomUUID().toString() : operationId;
        context.errorOutput().println("operation id: " + id);
        return id;
    }

    /** Returns the value of the flag or the version that is in force at the node. */
    long expectedVersion(OperatorClient client, String service, CommandContext context)
            throws OperatorException {
        if (expectedVersion != null) {
            return Long.parseLong(expectedVersion);
        }
        long inForce = queryVersionInForce(client, service);
        context.errorOutput()
                .println(
                        inForce == 0
                                ? "expected version: 0, because the node holds no such service"
                                : "expected version: " + inForce + ", which the node holds");
        return inForce;
    }

    /** Reports any failure as "not accepted", because the change has not been sent yet. */
    private static long queryVersionInForce(OperatorClient client, String service)
            throws OperatorException {
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
