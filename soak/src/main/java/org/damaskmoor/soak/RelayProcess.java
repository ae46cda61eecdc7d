package org.damaskmoor.soak;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.lang.ProcessBuilder.Redirect;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.damaskmoor.platform.standin.AnnouncementClient;

/**
 * Runs one relay as a child process with its settings file and log file.
 *
 * <p>Thread-safe. Invariant: at most one process runs at a time, and it is killed when this JVM
 * exits.
 */
final class RelayProcess implements AutoCloseable {
    private static final List<String> COMMAND =
            List.of(
                    "java",
                    "-Xmx96m",
                    "-Xss256k",
                    "-XX:+UseSerialGC",
                    "-XX:TieredStopAtLevel=1",
                    "-XX:MaxDirectMemorySize=64m",
                    "-jar");

    private final Path jar;
    private final Path settings;
    private final Path output;
    private final InetSocketAddress readiness;
    private volatile Process process;

    RelayProcess(Path jar, Path directory, String name, String properties, InetSocketAddress ready)
            throws IOException {
        this.jar = jar;
        this.settings = directory.resolve(name + ".properties");
        this.output = directory.resolve(name + ".log");
        this.readiness = ready;
        Files.writeString(settings, properties);
        Runtime.getRuntime().addShutdownHook(new Thread(this::kill, "end-" + name));
    }

    /** Starts the process. */
    synchronized void start() throws IOException {
        List<String> command = new ArrayList<>(COMMAND);
        command.add(jar.toString());
        command.add(settings.toString());
        process =
                new ProcessBuilder(command)
                        .redirectErrorStream(true)
                        .redirectOutput(Redirect.appendTo(output.toFile()))
                        .start();
    }

    /** Returns whether the process is running. */
    boolean isAlive() {
        return process != null && process.isAlive();
    }

    /** Returns whether the relay reports itself ready for callers. */
    boolean isReady() {
        try {
            return AnnouncementClient.isReady(readiness);
        } catch (IOException unreachable) {
            return false;
        }
    }

    /** Sends a signal, given by name, such as {@code STOP}. */
    void signal(String name) {
        try {
            new ProcessBuilder("kill", "-" + name, Long.toString(process.pid())).start().waitFor();
        } catch (IOException failure) {
            throw new UncheckedIOException(failure);
        } catch (InterruptedException interrupted) {
            Thread.currentThread().interrupt();
        }
    }

    /** Kills the process immediately. */
    void kill() {
        if (process != null) {
            process.destroyForcibly();
        }
    }

    /** Waits for the process to exit; returns false if it still runs after the timeout. */
    boolean awaitExit(long milliseconds) throws InterruptedException {
        return process.waitFor(milliseconds, TimeUnit.MILLISECONDS);
    }

    /** Returns the exit code of the process. */
    int exitCode() {
        return process.exitValue();
    }

    /** Replaces the content of the settings file. */
    void writeSettings(String properties) throws IOException {
        Files.writeString(settings, properties);
    }

    @Override
    public void close() throws InterruptedException {
        kill();
        if (process != null) {
            process.waitFor();
        }
    }
}
