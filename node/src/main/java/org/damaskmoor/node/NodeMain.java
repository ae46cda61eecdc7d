package org.damaskmoor.node;

import com.github.rvesse.airline.SingleCommand;
import com.github.rvesse.airline.parser.errors.ParseException;
import java.util.Optional;
import java.util.concurrent.CompletionException;
import java.util.concurrent.CountDownLatch;
import org.damaskmoor.core.settings.SettingsException;
import org.damaskmoor.mesh.ChannelCustomizer;
import org.damaskmoor.node.internal.security.NodeTls;
import org.damaskmoor.schema.settings.NodeSettings;

/** Main class of the damaskmoor-node binary. */
public final class NodeMain {
    private static final int EXIT_PLANNED_STOP = 0;
    private static final int EXIT_NOT_STARTED = 1;
    private static final int EXIT_BAD_SETTING = 2;

    private NodeMain() {}

    public static void main(String[] arguments) {
        System.exit(run(arguments, ChannelCustomizer.NONE));
    }

    /** Runs a node until it is stopped; returns the exit code. */
    public static int run(String[] arguments, ChannelCustomizer customizer) {
        NodeSettings settings;
        Optional<NodeTls> tls;
        try {
            NodeCommand command = SingleCommand.singleCommand(NodeCommand.class).parse(arguments);
            if (command.showHelpIfRequested()) {
                return EXIT_PLANNED_STOP;
            }
            settings = command.settings(System.getenv());
            tls = NodeTls.read(settings);
        } catch (SettingsException | ParseException unusable) {
            System.err.println(unusable.getMessage());
            return EXIT_BAD_SETTING;
        }
        NodeLogging.configure(settings.getLogLevel());
        return start(new NodeProcess(settings, tls, customizer));
    }

    private static int start(NodeProcess node) {
        try {
            node.start().join();
        } catch (CompletionException failure) {
            System.err.println("The node could not start: " + failure.getCause().getMessage());
            return EXIT_NOT_STARTED;
        }
        Runtime.getRuntime().addShutdownHook(new Thread(() -> stop(node), "stop"));
        waitForSignal();
        return EXIT_PLANNED_STOP;
    }

    /** Exits with 0 after a graceful shutdown, even though a signal requested it. */
    private static void stop(NodeProcess node) {
        node.stop().join();
        Runtime.getRuntime().halt(EXIT_PLANNED_STOP);
    }

    private static void waitForSignal() {
        try {
            new CountDownLatch(1).await();
        } catch (InterruptedException interrupted) {
            Thread.currentThread().interrupt();
        }
    }
}
