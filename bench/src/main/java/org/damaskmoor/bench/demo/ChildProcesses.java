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
 * The processes that the demo starts from this binary, each known by a name.
 *
 * <p>Invariant: every process started here is ended by {@link #close()} or at the end of this JVM.
 * Thread safe.
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
    private final Map<String, Process> running = new LinkedHashMap<>();

    /**
     * @param directory where each process writes its log
     */
    public ChildProcesses(Path directory) {
        this.directory = directory;
        Runtime.getRuntime().addShutdownHook(new Thread(this::close, "end-children"));
    }

    /** Starts a subcommand of this binary; a second start adds to the log of the first. */
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
        running.put(name, process);
    }

    /** Returns true while the process runs. */
    public synchronized boolean alive(String name) {
        return running.get(name).isAlive();
    }

    /** Returns the names of processes that ended. */
    synchronized List<String> ended() {
        return running.keySet().stream().filter(name -> !alive(name)).toList();
    }

    /** Ends the process at once, as the loss of its VM would. */
    public synchronized void kill(String name) {
        running.get(name).destroyForcibly();
    }

    /** Asks the process to end, as a planned stop does. */
    public synchronized void terminate(String name) {
        running.get(name).destroy();
    }

    /** Returns the exit code of a process that was told to end, once it ended. */
    public int awaitEnd(String name) throws InterruptedException {
        Process process;
        synchronized (this) {
            process = running.get(name);
        }
        return process.waitFor();
    }

    /** Stops the process where it stands, as a paused VM would, until {@link #resume}. */
    public synchronized void freeze(String name) throws IOException {
        signal("-STOP", name);
    }

    /** Lets a frozen process run on. */
    public synchronized void resume(String name) throws IOException {
        signal("-CONT", name);
    }

    private void signal(String signal, String name) throws IOException {
        String pid = String.valueOf(running.get(name).pid());
        try {
            int code = new ProcessBuilder("kill", signal, pid).start().waitFor();
            if (code != 0) {
                throw new IOException("signal " + signal + " to " + name + " failed: " + code);
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new IOException("interrupted at signal " + signal + " to " + name, e);
        }
    }

    /** Ends all processes: first politely, then at once. */
    @Override
    public synchronized void close() {
        running.values().forEach(Process::destroy);
        long end = System.nanoTime() + TimeUnit.SECONDS.toNanos(STOP_SECONDS);
        running.values().forEach(process -> endBy(process, end));
        running.clear();
    }

    private static void endBy(Process process, long endNanoseconds) {
        try {
            long left = Math.max(0, endNanoseconds - System.nanoTime());
            if (!process.waitFor(left, TimeUnit.NANOSECONDS)) {
                process.destroyForcibly();
            }
        } catch (InterruptedException e) {
            process.destroyForcibly();
            Thread.currentThread().interrupt();
        }
    }
}
