package org.damaskmoor.bench.capacity;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.TimeUnit;
import org.damaskmoor.bench.http.EventLoopServer;
import org.damaskmoor.bench.platform.PlatformServlet;

/**
 * Measures the processor time and resident memory of a node process that serves no requests.
 *
 * <p>Runs the node as a child process with the heap size intended for a VM. Stateless.
 */
final class IdleNodeMeasurement {
    private static final String HEAP = "-Xmx48m";
    private static final Duration WARM_UP = Duration.ofSeconds(15);
    private static final double BYTES_PER_MEBIBYTE = 1024.0 * 1024.0;
    private static final String RESIDENT = "VmRSS:";
    private static final int BYTES_PER_KIBIBYTE = 1024;

    private IdleNodeMeasurement() {}

    /** Runs one idle node and measures it for the given time after a warm-up. */
    static String measure(Duration duration) throws IOException, InterruptedException {
        int platformPort = freePort();
        EventLoopServer unused =
                new EventLoopServer("platform", platformPort, PlatformServlet::new);
        Process node = start(platformPort);
        try {
            TimeUnit.MILLISECONDS.sleep(WARM_UP.toMillis());
            Duration before = processorTime(node);
            TimeUnit.MILLISECONDS.sleep(duration.toMillis());
            Duration used = processorTime(node).minus(before);
            return String.format(
                    Locale.ROOT,
                    "idle_node seconds=%d processor_ms_per_second=%.2f resident_mebibytes=%.0f %s",
                    duration.toSeconds(),
                    (double) used.toMillis() / duration.toSeconds(),
                    residentBytes(node) / BYTES_PER_MEBIBYTE,
                    HEAP);
        } finally {
            node.destroyForcibly().waitFor();
        }
    }

    private static Process start(int platformPort) throws IOException {
        List<String> command = new ArrayList<>();
        command.add(Path.of(System.getProperty("java.home"), "bin", "java").toString());
        command.addAll(List.of(HEAP, "-XX:+UseSerialGC", "-XX:TieredStopAtLevel=1", "-cp"));
        command.add(System.getProperty("java.class.path"));
        command.add("org.damaskmoor.node.NodeMain");
        command.addAll(List.of("--node-id=idle", "--region=region", "--data-centre=centre"));
        for (String port : List.of("http", "mesh", "gossip", "control", "operator")) {
            command.add("--" + port + "-port=" + freePort());
        }
        command.add("--table-service-url=http://127.0.0.1:" + platformPort);
        command.add("--object-store-url=http://127.0.0.1:" + platformPort);
        return new ProcessBuilder(command)
                .redirectErrorStream(true)
                .redirectOutput(ProcessBuilder.Redirect.DISCARD)
                .start();
    }

    private static Duration processorTime(Process process) {
        return process.info().totalCpuDuration().orElseThrow();
    }

    private static long residentBytes(Process process) throws IOException {
        Path status = Path.of("/proc", Long.toString(process.pid()), "status");
        for (String line : Files.readAllLines(status)) {
            if (line.startsWith(RESIDENT)) {
                String kibibytes = line.substring(RESIDENT.length()).replace("kB", "").trim();
                return Long.parseLong(kibibytes) * BYTES_PER_KIBIBYTE;
            }
        }
        throw new IOException("no " + RESIDENT + " line in " + status);
    }

    private static int freePort() throws IOException {
        try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            return socket.getLocalPort();
        }
    }
}
