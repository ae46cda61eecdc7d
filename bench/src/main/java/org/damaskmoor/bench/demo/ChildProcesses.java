package org.damaskmoor.bench.demo;

import java.io.IOException;
import java.lang.ProcessBuilder.Redirect;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;

/**
 * Starts subcommands of this binary as child processes, each under a name.
 *
 * <p>Invariant: every process is stopped by {@link #close()} or when this JVM exits. Thread-safe.
 */
public final class ChildProcesses implements AutoCloseable {
    private static final List<String> JVM_FLAGS =
            List.of(
                    "-Xmx64m",
                    "-XX:+UseSerialGC",
                    "-XX:TieredStopAtLevel=1",
                    "-Xshare:auto",
                    "-XX:MaxDirectMemorySize=64m");
    private static final long STOP_SECONDS = 2;

    private final Path directory;
    private final Map<String, Process> processes = new LinkedHashMap<>();

    /**
     * @param directory directory for the log files of the processes
     */
    public ChildProcesses(Path directory) {
        this.directory = directory;
        Runtime.getRuntime().addShutdownHook(new Thread(this::close, "end-children"));
    }

    /** Starts a subcommand of this binary; a restart appends to the same log file. */
    public synchronized void start(String name, List<String> arguments) throws IOException {
        List<String> command = new ArrayList<>();
        command.add(Path.of(System.getProperty("java.home"), "bin", "java").toString());
        command.addAll(JVM_FLAGS);
        command.add("-cp");
        command.add(System.getProperty("java.class.path"));
        command.add("org.damaskmoor.bench.BenchMain");
        command.addAll(arguments);
        Process process =
                new ProcessBuilder(command)
                        .redirectErrorStream(true)
                        .redirectOutput(
                                Redirect.appendTo(directory.resolve(name + ".log").toFile()))
                        .start();
        processes.put(name, process);
    }

    /** Returns whether the process is running. */
    public synchronized boolean alive(String name) {
        return processes.get(name).isAlive();
    }

    /** Returns the names of the processes that have exited. */
    synchronized List<String> exited() {
        return processes.keySet().stream().filter(name -> !alive(name)).toList();
    }

    /** Kills the process with SIGKILL, which simulates the loss of its VM. */
    public synchronized void kill(String name) {
        processes.get(name).destroyForcibly();
    }

    /** Stops the process with SIGTERM, like a planned stop. */
    public synchronized void terminate(String name) {
        processes.get(name).destroy();
    }

    /** Waits until the process exits and returns its exit code. */
    public int awaitEnd(String name) throws InterruptedException {
        Process process;
        synchronized (this) {
            process = processes.get(name);
        }
        return process.waitFor();
    }

    /** Suspends the process until {@link #resume}, which simulates a paused VM. */
    public synchronized void freeze(String name) throws IOException {
        signal("-STOP", name);
    }

    /** Resumes a suspended process. */
    public synchronized void resume(String name) throws IOException {
        signal("-CONT", name);
    }

    private void signal(String signal, String name) throws IOException {
        String pid = String.valueOf(processes.get(name).pid());
        try {
            int exitCode = new ProcessBuilder("kill", signal, pid).start().waitFor();
            if (exitCode != 0) {
                throw new IOException(
                        "could not send signal "
                                + signal
                                + " to "
                                + name
                                + ": kill exited with "
                                + exitCode);
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new IOException("interrupted while sending signal " + signal + " to " + name, e);
        }
    }

    /** Stops all processes with SIGTERM, and with SIGKILL those that don't exit in time. */
    @Override
    public synchronized void close() {
        processes.values().forEach(Process::destroy);
        long end = System.nanoTime() + TimeUnit.SECONDS.toNanos(STOP_SECONDS);
        processes.values().forEach(process -> stopBefore(process, end));
        processes.clear();
    }

    private static void stopBefore(Process process, long deadlineNanoseconds) {
        try {
            long left = Math.max(0, deadlineNanoseconds - System.nanoTime());
            if (!process.waitFor(left, TimeUnit.NANOSECONDS)) {
                process.destroyForcibly();
            }
        } catch (InterruptedException e) {
            process.destroyForcibly();
            Thread.currentThread().interrupt();
        }
    }
}
