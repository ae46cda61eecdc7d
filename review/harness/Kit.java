import java.io.IOException;
import java.io.PrintWriter;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;

/**
 * What a case needs: addresses, the store, relays as processes started with the command of the
 * deploy file, a record, and the end of all that.
 */
final class Kit {
    static final String HOST = "shop.example";

    /** A relay process of one machine. */
    final class Relay {
        final String name;
        final String ip;
        final String zone;
        final String service;
        Process process;

        Relay(String name, String ip, String zone, String service) {
            this.name = name;
            this.ip = ip;
            this.zone = zone;
            this.service = service;
        }

        void start() throws IOException {
            Map<String, String> values = new LinkedHashMap<>();
            values.put("nodeName", name);
            values.put("region", "home");
            values.put("zone", zone);
            values.put("service", service);
            values.put("listen.outbound", ip + ":" + outboundPort);
            values.put("listen.inbound", ip + ":" + inboundPort);
            values.put("listen.ready", ip + ":" + readyPort);
            values.put("listen.control", ip + ":" + controlPort);
            values.put("appAddr", ip + ":" + appPort);
            values.put("platform.address", storeIp + ":" + storePort);
            values.put("ip", ip);
            values.put("portRange.0", "" + metricsPort);
            values.put("seeds", "");
            values.put("bounds.drain", "2500ms");
            values.put("bounds.grace", "6s");
            values.put("bounds.retryBudgetRatio", "0.2");
            values.put("bounds.retryBudgetSlack", "64");
            values.put("bounds.probesPerS", "60");
            values.put("bounds.budgetWindow", "10s");
            String settings = Files.readString(root.resolve("deploy/relay.properties.template"));
            for (Map.Entry<String, String> value : values.entrySet()) {
                settings = settings.replace("{{" + value.getKey() + "}}", value.getValue());
            }
            Path file = folder.resolve(name + ".properties");
            Files.writeString(file, settings);
            ProcessBuilder builder = new ProcessBuilder(command());
            builder.directory(root.toFile());
            builder.environment()
                    .keySet()
                    .retainAll(List.of("PATH", "HOME", "JAVA_HOME", "LANG"));
            builder.environment().put("DAMASKMOOR_SETTINGS", file.toString());
            builder.redirectErrorStream(true);
            builder.redirectOutput(
                    ProcessBuilder.Redirect.appendTo(folder.resolve(name + ".log").toFile()));
            process = builder.start();
            processes.add(process);
            Files.writeString(pidFile, process.pid() + "\n", StandardOpenOption.APPEND);
            record("relay " + name + " started, pid " + process.pid());
        }

        void terminate() {
            record("relay " + name + " gets SIGTERM");
            process.destroy();
        }

        void awaitReady() throws Exception {
            for (int i = 0; i < 200; i++) {
                if (isReady()) {
                    record("relay " + name + " is ready");
                    return;
                }
                sleep(100);
            }
            throw new CannotRun("relay " + name + " is not ready after 20 s");
        }

        boolean isReady() {
            try (java.net.Socket socket = new java.net.Socket()) {
                socket.connect(new InetSocketAddress(ip, readyPort), 500);
                socket.setSoTimeout(500);
                socket.getOutputStream()
                        .write(("GET /v1/ready HTTP/1.1\r\nHost: " + ip + "\r\n\r\n").getBytes());
                return Http.read(socket.getInputStream()).status() == 200;
            } catch (IOException | RuntimeException notReady) {
                return false;
            }
        }

        String log() throws IOException {
            return Files.readString(folder.resolve(name + ".log"));
        }
    }

    /** The case could not run, which says nothing about the rule. */
    static final class CannotRun extends RuntimeException {
        CannotRun(String message) {
            super(message);
        }
    }

    /** The body of a case; returns what broke the rule, or an empty text. */
    @FunctionalInterface
    interface Body {
        String run(Kit kit) throws Exception;
    }

    final Path root;
    final Path folder;
    private final Path pidFile;
    final boolean trouble = !"0".equals(System.getenv("TROUBLE"));
    final int outboundPort;
    final int inboundPort;
    final int readyPort;
    final int controlPort;
    final int appPort;
    final int metricsPort;
    final int storePort;
    final String storeIp;
    final Store store;
    final Map<String, List<String>> runs = new ConcurrentHashMap<>();
    private final String network;
    private final PrintWriter record;
    private final long startedAt = System.nanoTime();
    private final List<Process> processes = new ArrayList<>();

    private Kit(Path recordFile, Path pidFile) throws IOException {
        this.pidFile = pidFile;
        root = Path.of("").toAbsolutePath();
        folder = Files.createTempDirectory("damaskmoor-review");
        record = new PrintWriter(Files.newBufferedWriter(recordFile));
        Random random = new Random();
        network = "127." + (20 + random.nextInt(200)) + "." + random.nextInt(250) + ".";
        storeIp = network + "250";
        int[] ports = freePorts(7);
        outboundPort = ports[0];
        inboundPort = ports[1];
        readyPort = ports[2];
        controlPort = ports[3];
        appPort = ports[4];
        metricsPort = ports[5];
        storePort = ports[6];
        store = new Store(new InetSocketAddress(storeIp, storePort));
    }

    private int[] freePorts(int count) throws IOException {
        ServerSocket[] sockets = new ServerSocket[count];
        int[] ports = new int[count];
        for (int i = 0; i < count; i++) {
            sockets[i] = new ServerSocket();
            sockets[i].bind(new InetSocketAddress(network + "1", 0));
            ports[i] = sockets[i].getLocalPort();
        }
        for (ServerSocket socket : sockets) {
            socket.close();
        }
        return ports;
    }

    /**
     * Runs a case; the arguments are the file of the record and the file for the process ids of
     * the relays. Exits: 1 if the rule was broken, 0 if it held, 2 if it could not run.
     */
    static void main(String[] arguments, Body body) throws IOException {
        Kit kit;
        try {
            kit = new Kit(Path.of(arguments[0]), Path.of(arguments[1]));
        } catch (IOException | RuntimeException failure) {
            System.err.println("The case could not run: " + failure);
            System.exit(2);
            return;
        }
        Thread hook = new Thread(kit::end);
        Runtime.getRuntime().addShutdownHook(hook);
        int status;
        try {
            kit.record("trouble: " + kit.trouble);
            String broken = body.run(kit);
            kit.record(broken.isEmpty() ? "RESULT: the rule held" : "RESULT: BROKEN: " + broken);
            status = broken.isEmpty() ? 0 : 1;
        } catch (Throwable failure) {
            kit.record("RESULT: the case could not run: " + failure);
            for (StackTraceElement element : failure.getStackTrace()) {
                kit.record("    " + element);
            }
            status = 2;
        }
        System.exit(status);
    }

    private void end() {
        for (Process process : processes) {
            process.destroyForcibly();
        }
        for (Process process : processes) {
            try {
                process.waitFor(5, TimeUnit.SECONDS);
            } catch (InterruptedException interrupted) {
                Thread.currentThread().interrupt();
            }
        }
        store.close();
        record.close();
        if (System.getenv("KEEP") != null) {
            System.out.println("kept " + folder);
            return;
        }
        try (var files = Files.list(folder)) {
            files.forEach(file -> file.toFile().delete());
        } catch (IOException ignored) {
            // The folder is gone.
        }
        folder.toFile().delete();
    }

    /** The words of the command in the deploy file. */
    private List<String> command() throws IOException {
        for (String line : Files.readAllLines(root.resolve("deploy/system.toml"))) {
            if (line.startsWith("run = \"")) {
                return Arrays.asList(line.substring(7, line.lastIndexOf('"')).split(" +"));
            }
        }
        throw new CannotRun("the deploy file has no command");
    }

    String ip(int machine) {
        return network + machine;
    }

    Relay relay(int machine, String zone, String service) {
        return new Relay("sidecar-" + zone + "-" + machine, ip(machine), zone, service);
    }

    static String route(String name, String prefix, String kind, String service, int timeout) {
        return "{\"name\":\"" + name + "\",\"host\":\"" + HOST + "\",\"prefix\":\"" + prefix
                + "\",\"kind\":\"" + kind + "\",\"timeout\":\"" + timeout
                + "ms\",\"targetLatency\":\"800ms\",\"priority\":1,\"service\":\"" + service
                + "\",\"maxAttempts\":2}";
    }

    /** The configuration with the limits that the pages' example has. */
    static String configuration(int version, String services, String... routes) {
        StringBuilder list = new StringBuilder();
        for (String service : services.split(",")) {
            list.append(list.length() == 0 ? "" : ",")
                    .append("{\"name\":\"")
                    .append(service)
                    .append("\",\"healthPath\":\"/healthz\",\"maxConnections\":260}");
        }
        return String.format("{\"version\":\"%08x\",\"routes\":[", version)
                + String.join(",", routes) + "],\"services\":[" + list
                + "],\"limits\":{\"maxHeaderBytes\":16384,\"maxBodyBytes\":67108864,"
                + "\"headerTimeout\":\"3000ms\",\"idleTimeout\":\"15000ms\"}}";
    }

    /** A backend began to run a request. */
    void ran(Backend backend, Http.Message request) {
        String id = request.header("request-id");
        runs.computeIfAbsent(id, unused -> java.util.Collections.synchronizedList(new ArrayList<>()))
                .add(backend.id);
        record("backend " + backend.id + " runs " + id + " " + request.word(0) + " "
                + request.word(1));
    }

    synchronized void record(String text) {
        String line = String.format("%8.3f %s", (System.nanoTime() - startedAt) / 1e9, text);
        record.println(line);
        record.flush();
    }

    static Thread daemon(Runnable task) {
        Thread thread = new Thread(task);
        thread.setDaemon(true);
        return thread;
    }

    /** A task that may fail. */
    @FunctionalInterface
    interface Task {
        void run() throws Exception;
    }

    static Thread thread(Task task) {
        Thread thread =
                daemon(
                        () -> {
                            try {
                                task.run();
                            } catch (Exception failure) {
                                System.err.println("task failed: " + failure);
                            }
                        });
        thread.start();
        return thread;
    }

    static void sleep(long milliseconds) {
        try {
            Thread.sleep(milliseconds);
        } catch (InterruptedException interrupted) {
            Thread.currentThread().interrupt();
        }
    }
}
