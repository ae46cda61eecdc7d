package org.damaskmoor.node;

import com.github.rvesse.airline.SingleCommand;
import com.github.rvesse.airline.parser.errors.ParseException;
import java.util.concurrent.CompletionException;
import org.damaskmoor.core.settings.SettingsException;
import org.damaskmoor.mesh.ChannelCustomizer;
import org.damaskmoor.schema.settings.NodeSettings;

/** Entry point of the binary damaskmoor-node. */
public final class NodeMain {
    private static final int EXIT_NOT_STARTED = 1;
    private static final int EXIT_BAD_SETTING = 2;

    private NodeMain() {}

    public static void main(String[] arguments) {
        run(arguments, ChannelCustomizer.NONE);
    }

    /** Runs a node until it is told to stop. */
    public static void run(String[] arguments, ChannelCustomizer customizer) {
        NodeSettings settings;
        try {
            NodeCommand command = SingleCommand.singleCommand(NodeCommand.class).parse(arguments);
            if (command.showedHelp()) {
                return;
            }
            settings = command.settings(System.getenv());
        } catch (SettingsException | ParseException unusable) {
            System.err.println(unusable.getMessage());
            System.exit(EXIT_BAD_SETTING);
            return;
        }
        NodeLogging.configure(settings.getLogLevel());
        start(new NodeProcess(settings, customizer));
    }

    private static void start(NodeProcess node) {
        try {
            node.start().join();
        } catch (CompletionException failure) {
            System.err.println("The node could not start: " + failure.getCause().getMessage());
            Runtime.getRuntime().halt(EXIT_NOT_STARTED);
        }
        Runtime.getRuntime().addShutdownHook(new Thread(() -> node.stop().join(), "stop"));
    }
}
