package standin3;

import java.io.IOException;
import java.io.PrintWriter;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.Callable;
import java.util.concurrent.TimeUnit;

/**
 * One run of a case: the relays as processes, the store, the record of what was sent, answered and
 * run, and the end of all of them.
 *
 * <p>Thread-safe but for its creation and its end. Invariant: all processes that it started have
 * ended when {@link #run} returns.
 */
public final class Rig {
    /**
     * Exit codes of a case. That of a broken rule is none that a JVM which fails by itself has;
     * run.sh turns it into 1, and any other than 0 into 2.
     */
    public static final int HELD = 0;

    public static final int BROKEN = 11;
    public static final int COULD_NOT_RUN = 12;

    /** First and number of the subnets of the loopback network that runs use. */
    private static final int MACHINE_NETWORK = 30;

    private static final int RANGE = 60;

    public final Store store;
    public final boolean trouble = !"0".equals(System.getenv("TROUBLE"));
    private final Path directory;
    private final PrintWriter record;
    private final long startedAt = System.nanoTime();
    private final List<Relay> relays = new ArrayList<>();
    private final Set<InetSocketAddress> given = new HashSet<>();
    private final List<AutoCloseable> others = new ArrayList<>();

    /** What a case does; returns the exit code. */
    @FunctionalInterface
    public interface Case {
        int play(Rig rig) throws Exception;
    }

    private Rig(Path recordFile) throws IOException {
        directory = Files.createTempDirectory("review-3-");
        record = new PrintWriter(Files.newBufferedWriter(recordFile));
        store = new Store();
    }

    /** Plays a case and exits with its result. */
    public static void run(String[] arguments, Case played) {
        int result = COULD_NOT_RUN;
        try {
            Rig rig = new Rig(Path.of(arguments[0]).resolve("record.txt"));
            Thread ending = new Thread(rig::end);
            Runtime.getRuntime().addShutdownHook(ending);
            try {
                rig.note("case", rig.trouble ? "with the disruption" : "without the disruption");
                result = played.play(rig);
            } catch (Exception failure) {
                rig.note("could not run", failure.toString());
                failure.printStackTrace();
            }
            rig.note(
                    "result",
                    result == HELD
                            ? "the rule held"
                            : result == BROKEN ? "THE RULE WAS BROKEN" : "the case could not run");
            Runtime.getRuntime().removeShutdownHook(ending);
            rig.end();
        } catch (IOException failure) {
            failure.printStackTrace();
        }
        System.exit(result);
    }

    /** Writes a line of the record. */
    public synchronized void note(String event, String detail) {
        String line =
                String.format(
                        Locale.ROOT,
                        "%7d ms  %-22s %s",
                        (System.nanoTime() - startedAt) / 1_000_000,
                        event,
                        detail);
        record.println(line);
        record.flush();
        System.out.println(line);
    }

    /** Closes something at the end of the run. */
    public synchronized <T extends AutoCloseable> T keep(T opened) {
        others.add(opened);
        return opened;
    }

    /** Address of a machine on the loopback network, with a free port for each use. */
    public InetSocketAddress free(int machine) throws IOException {
        long process = ProcessHandle.current().pid();
        byte subnet = (byte) (MACHINE_NETWORK + process / RANGE % RANGE);
        byte[] bytes = {127, subnet, (byte) (MACHINE_NETWORK + process % RANGE), (byte) machine};
        InetAddress address = InetAddress.getByAddress(bytes);
        while (true) {
            try (ServerSocket socket = new ServerSocket(0, 1, address)) {
                InetSocketAddress found = new InetSocketAddress(address, socket.getLocalPort());
                if (given.add(found)) {
                    return found;
                }
            }
        }
    }

    /** Starts the relay of a machine. */
    public Relay startRelay(int machine, String name, String zone, String service)
            throws IOException {
        return startRelay(machine, name, zone, service, Map.of());
    }

    /**
     * Starts the relay of a machine.
     *
     * @param more values for the template beside the usual ones
     */
    public Relay startRelay(
            int machine, String name, String zone, String service, Map<String, String> more)
            throws IOException {
        Map<String, String> values = new TreeMap<>();
        values.put("nodeName", name);
        values.put("region", "north");
        values.put("zone", zone);
        values.put("service", service);
        values.put("platform.address", text(store.address()));
        values.put("seeds", "");
        values.put("bounds.drain", "2500ms");
        values.put("bounds.grace", "6s");
        values.put("bounds.retryBudgetRatio", "0.2");
        values.put("bounds.retryBudgetSlack", "64");
        values.put("bounds.probesPerS", "60");
        values.put("bounds.budgetWindow", "10s");
        values.putAll(more);
        Relay relay = new Relay(this, machine, name, values, directory);
        relays.add(relay);
        relay.start();
        return relay;
    }

    public static String text(InetSocketAddress address) {
        return address.getAddress().getHostAddress() + ":" + address.getPort();
    }

    /** Waits until a condition holds. */
    public void await(String what, int milliseconds, Callable<Boolean> condition)
            throws Exception {
        long until = System.nanoTime() + milliseconds * 1_000_000L;
        while (!condition.call()) {
            if (System.nanoTime() > until) {
                for (Relay relay : relays) {
                    relay.noteState();
                }
                throw new IllegalStateException("not in time: " + what);
            }
            Thread.sleep(20);
        }
        note("ready", what);
    }

    private synchronized void end() {
        for (Relay relay : relays) {
            relay.kill();
        }
        for (AutoCloseable other : others) {
            try {
                other.close();
            } catch (Exception closed) {
                // It has ended.
            }
        }
        store.close();
        record.close();
        String kept = System.getenv("KEEP_LOGS");
        if (kept != null) {
            System.out.println("logs: " + directory);
            return;
        }
        try (var files = Files.walk(directory)) {
            files.sorted(Comparator.reverseOrder()).forEach(file -> file.toFile().delete());
        } catch (IOException unreadable) {
            System.err.println("not removed: " + directory);
        }
    }

    /** Waits for a process to end. */
    static void awaitEnd(Process process) {
        try {
            process.waitFor(5, TimeUnit.SECONDS);
        } catch (InterruptedException interrupted) {
            Thread.currentThread().interrupt();
        }
    }
}
