package org.damaskmoor.relay;

import io.netty.channel.EventLoop;
import io.netty.channel.nio.NioEventLoopGroup;
import io.netty.util.internal.logging.InternalLoggerFactory;
import io.netty.util.internal.logging.JdkLoggerFactory;
import java.io.IOException;
import java.nio.file.Path;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletionException;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.ExecutionException;
import org.damaskmoor.core.settings.SettingsException;
import org.damaskmoor.platform.protocol.SettingsFileLocation;
import org.damaskmoor.relay.internal.RelayNode;
import org.damaskmoor.relay.internal.SettingsFileWatcher;
import org.damaskmoor.relay.internal.log.RateLimitedEventLog;
import org.damaskmoor.relay.internal.time.EventLoopTimers;

/** The relay program. Runs until it is stopped by a signal. */
public final class RelayMain {
    private static final int EXIT_PLANNED_STOP = 0;
    private static final int EXIT_NOT_STARTED = 1;
    private static final int EXIT_BAD_SETTING = 2;
    private static final String CHECK_SETTINGS = "--check-settings";
    private static final String REHEARSE = "--rehearse";
    private static final Set<String> HELP = Set.of("-h", "--help", "help");
    private static final String USAGE =
            """
            usage: damaskmoor-relay [--check-settings] [SETTINGS-FILE]
              SETTINGS-FILE     properties file; by default the one that the platform names
              --check-settings  checks the settings and exits
              --rehearse        runs a class data sharing training run and exits; for the build
              --help            shows this text""";

    private RelayMain() {}

    public static void main(String[] arguments) {
        System.exit(run(arguments));
    }

    private static int run(String[] arguments) {
        // Spares the search for other logging libraries, which takes time in a new process.
        InternalLoggerFactory.setDefaultFactory(JdkLoggerFactory.INSTANCE);
        if (arguments.length == 1 && HELP.contains(arguments[0])) {
            System.out.println(USAGE);
            return EXIT_PLANNED_STOP;
        }
        if (arguments.length == 1 && arguments[0].equals(REHEARSE)) {
            return runCdsTraining();
        }
        boolean check = arguments.length > 0 && arguments[0].equals(CHECK_SETTINGS);
        Optional<Path> file = settingsFile(arguments, check ? 1 : 0);
        if (file.isEmpty()) {
            System.err.println(USAGE);
            return EXIT_BAD_SETTING;
        }
        RelaySettings settings;
        try {
            settings = RelaySettingsReader.read(file.get());
        } catch (SettingsException invalid) {
            System.err.println(invalid.getMessage());
            return EXIT_BAD_SETTING;
        }
        return check ? EXIT_PLANNED_STOP : run(settings, file.get());
    }

    private static int runCdsTraining() {
        try {
            CdsTrainingRun.run();
            return EXIT_PLANNED_STOP;
        } catch (IOException | ExecutionException | CompletionException failure) {
            System.err.println(
                    "The training run for class data sharing failed: " + failure.getMessage());
        } catch (InterruptedException interrupted) {
            Thread.currentThread().interrupt();
        }
        return EXIT_NOT_STARTED;
    }

    private static Optional<Path> settingsFile(String[] arguments, int first) {
        if (arguments.length > first + 1) {
            return Optional.empty();
        }
        if (arguments.length == first + 1) {
            boolean option = arguments[first].startsWith("-");
            return option ? Optional.empty() : Optional.of(Path.of(arguments[first]));
        }
        return SettingsFileLocation.fromEnvironment(System.getenv());
    }

    private static int run(RelaySettings settings, Path file) {
        EventLoop loop = new NioEventLoopGroup(1).next();
        EventLoopTimers timers = new EventLoopTimers(loop);
        RateLimitedEventLog log = new RateLimitedEventLog(timers, System.out);
        RelayNode node = new RelayNode(settings, loop, timers, log);
        SettingsFileWatcher watch = new SettingsFileWatcher(file, settings, timers, log);
        try {
            loop.submit(node::start).get().join();
        } catch (CompletionException | ExecutionException failure) {
            System.err.println("The relay could not start: " + failure.getCause().getMessage());
            return EXIT_NOT_STARTED;
        } catch (InterruptedException interrupted) {
            Thread.currentThread().interrupt();
            return EXIT_NOT_STARTED;
        }
        loop.execute(watch::start);
        Runtime.getRuntime().addShutdownHook(new Thread(() -> stop(loop, node, log), "stop"));
        waitForSignal();
        return EXIT_PLANNED_STOP;
    }

    /** Stops gracefully and exits with 0, although a signal ended the process. */
    private static void stop(EventLoop loop, RelayNode node, RateLimitedEventLog log) {
        CountDownLatch stopped = new CountDownLatch(1);
        loop.execute(() -> node.stop().thenRun(stopped::countDown));
        try {
            stopped.await();
        } catch (InterruptedException interrupted) {
            Thread.currentThread().interrupt();
        }
        log.close();
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
