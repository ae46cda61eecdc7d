package org.damaskmoor.operator.internal.command;

import com.github.rvesse.airline.annotations.AirlineModule;
import com.github.rvesse.airline.annotations.help.ExitCodes;
import com.github.rvesse.airline.annotations.help.ProseSection;
import java.util.List;
import org.damaskmoor.core.settings.SettingFault;
import org.damaskmoor.core.settings.SettingsException;
import org.damaskmoor.core.settings.SettingsReader;
import org.damaskmoor.operator.ExitCode;
import org.damaskmoor.operator.OperatorClient;
import org.damaskmoor.operator.OperatorException;
import org.damaskmoor.operator.internal.output.ResponsePrinter;
import org.damaskmoor.schema.settings.OperatorSettings;
import org.damaskmoor.schema.settings.OperatorSettingsOptions;

/** A command that calls the operator port of a node. Confined to one thread. */
@ExitCodes(
        codes = {0, 1, 2, 3, 4, 5, 6},
        descriptions = {
            "Done.",
            "Failed; nothing was changed by this call.",
            "A flag, an argument or an environment variable has an invalid value; each is named.",
            "Conflict: another change was accepted first.",
            "The configuration has faults; each is named with the path of its field.",
            "The change was certainly not accepted.",
            "It is unknown whether the change was accepted: repeat it with the same operation id."
        })
@ProseSection(
        title = "Environment",
        suggestedOrder = 50,
        paragraphs = {
            "A flag overrides its environment variable, which overrides the default:"
                    + " DAMASKMOOR_OPERATOR_NODE, DAMASKMOOR_OPERATOR_OUTPUT,"
                    + " DAMASKMOOR_OPERATOR_TIMEOUT_MILLISECONDS, DAMASKMOOR_OPERATOR_CHANGED_BY,"
                    + " DAMASKMOOR_OPERATOR_TLS_CERTIFICATE_FILE,"
                    + " DAMASKMOOR_OPERATOR_TLS_KEY_FILE and"
                    + " DAMASKMOOR_OPERATOR_TLS_AUTHORITY_FILE."
        })
abstract class NodeCallCommand extends OperatorSettingsOptions implements OperatorCommand {
    @AirlineModule private HelpFlag help = new HelpFlag();

    @Override
    public final HelpFlag help() {
        return help;
    }

    @Override
    public final ExitCode run(CommandContext context) throws SettingsException, OperatorException {
        OperatorSettings settings =
                SettingsReader.read(
                        OperatorSettings.getDefaultInstance(), given(), context.environment());
        checkArguments();
        ResponsePrinter output =
                new ResponsePrinter(context.output(), settings.getOutput().equals("json"));
        try (OperatorClient client = OperatorClient.open(settings)) {
            return call(client, context, output);
        }
    }

    /** Checks the arguments that the settings' schema does not cover. */
    void checkArguments() throws SettingsException {}

    /** Calls the node and prints the response. */
    abstract ExitCode call(OperatorClient client, CommandContext context, ResponsePrinter output)
            throws SettingsException, OperatorException;

    /** Returns the exception for one invalid flag or argument. */
    static SettingsException invalidValue(String flag, String value, String allowed) {
        return new SettingsException(List.of(new SettingFault(flag, value, allowed)));
    }

    /** Returns the value of a required flag or argument. */
    static String require(String flag, String value, String allowed) throws SettingsException {
        if (value == null || value.isEmpty()) {
            throw invalidValue(flag, "", allowed);
        }
        return value;
    }
}
