package org.damaskmoor.node;

import com.github.rvesse.airline.HelpOption;
import com.github.rvesse.airline.annotations.AirlineModule;
import com.github.rvesse.airline.annotations.Command;
import com.github.rvesse.airline.annotations.help.Examples;
import com.github.rvesse.airline.annotations.help.ExitCodes;
import java.util.Map;
import org.damaskmoor.core.settings.SettingsException;
import org.damaskmoor.core.settings.SettingsReader;
import org.damaskmoor.schema.settings.NodeSettings;
import org.damaskmoor.schema.settings.NodeSettingsOptions;

/** The command line of {@code damaskmoor-node}. Confined to one thread. */
@Command(name = "damaskmoor-node", description = "Runs the node beside an upstream VM.")
@Examples(
        examples =
                "damaskmoor-node --node-id besuch-1 --region mittelland --data-centre bern-nord"
                        + " --table-service-url http://127.0.0.1:9000"
                        + " --object-store-url http://127.0.0.1:9000",
        descriptions = "Starts a node with the default ports.")
@ExitCodes(
        codes = {0, 1, 2},
        descriptions = {
            "A planned stop that finished everything in flight.",
            "The node could not start, for example because a port is in use.",
            "A flag or environment variable has a bad value; each is named on standard error."
        })
public final class NodeCommand extends NodeSettingsOptions {
    @AirlineModule private HelpOption<NodeCommand> help;

    /** Prints the help if it was requested; returns whether it did. */
    boolean showHelpIfRequested() {
        return help.showHelpIfRequested();
    }

    /** Reads and validates the settings. */
    NodeSettings settings(Map<String, String> environment) throws SettingsException {
        return SettingsReader.read(NodeSettings.getDefaultInstance(), given(), environment);
    }
}
