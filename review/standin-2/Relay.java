import java.io.IOException;
import java.net.BindException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * A relay process: started with the command of the deploy file and the settings that its template
 * gives. Killed when this process exits.
 */
final class Relay {
    private static final Set<Integer> GIVEN_PORTS = new HashSet<>();

    final String name;
    final int outbound = freePort();
    final int inbound = freePort();
    final int ready = freePort();
    final int control = freePort();
    final int appPort;
    private final Path log;
    private final Path settings;
    private final List<String> command = new ArrayList<>();
    private final Path root;
    private volatile Process process;

    /** Settings that differ from those of amp-bern.toml and cotizar-prod.toml, by template name. */
    Relay(Path root, Path folder, String name, String service, String zone, String region, int appPort,
            InetSocketAddress store, Map<String, String> more) throws IOException {
        this.root = root;
        this.name = name;
        this.appPort = appPort;
        this.log = folder.resolve(name + ".log");
        this.settings = folder.resolve(name + ".properties");
        Map<String, String> values = new LinkedHashMap<>();
        values.put("nodeName", name);
        values.put("region", region);
        values.put("zone", zone);
        values.put("service", service);
        values.put("listen.outbound", "127.0.0.1:" + outbound);
        values.put("listen.inbound", "127.0.0.1:" + inbound);
        values.put("listen.ready", "127.0.0.1:" + ready);
        values.put("listen.control", "127.0.0.1:" + control);
        values.put("appAddr", "127.0.0.1:" + appPort);
        values.put("platform.address", "127.0.0.1:" + store.getPort());
        values.put("ip", "127.0.0.1");
        values.put("portRange.0", Integer.toString(freePort()));
        values.put("seeds", "");
        values.put("bounds.drain", "2500ms");
        values.put("bounds.grace", "6s");
        values.put("bounds.retryBudgetRatio", "0.2");
        values.put("bounds.retryBudgetSlack", "62");
        values.put("bounds.probesPerS", "60");
        values.put("bounds.budgetWindow", "10s");
        values.putAll(more);
        Files.writeString(settings, render(Files.readString(root.resolve("deploy/relay.properties.template")), values));
        String deploy = Files.readString(root.resolve("deploy/system.toml"));
        Matcher run = Pattern.compile("(?m)^run = \"(.*)\"$").matcher(deploy);
        if (!run.find()) {
            throw new IOException("deploy/system.toml has no run");
        }
        command.addAll(Arrays.asList(run.group(1).split(" ")));
        Runtime.getRuntime().addShutdownHook(new Thread(this::kill));
    }

    private static String render(String template, Map<String, String> values) {
        Matcher section = Pattern.compile("(?s)\\{\\{#([\\w.]+)}}(.*?)\\{\\{/\\1}}\\n?").matcher(template);
        String plain = section.replaceAll(
                match -> Matcher.quoteReplacement(values.containsKey(match.group(1)) ? match.group(2) : ""));
        return Pattern.compile("\\{\\{([\\w.]+)}}").matcher(plain).replaceAll(
                match -> Matcher.quoteReplacement(values.getOrDefault(match.group(1), "")));
    }

    /** A port below those that the kernel gives to outgoing connections; none is given twice. */
    static synchronized int freePort() throws IOException {
        while (true) {
            int port = ThreadLocalRandom.current().nextInt(20_000, 32_000);
            if (!GIVEN_PORTS.add(port)) {
                continue;
            }
            try (ServerSocket socket = new ServerSocket(port, 1, InetAddress.getLoopbackAddress())) {
                return socket.getLocalPort();
            } catch (BindException taken) {
                continue;
            }
        }
    }

    void start() throws IOException {
        ProcessBuilder builder = new ProcessBuilder(command);
        builder.directory(root.toFile());
        builder.environment().put("DAMASKMOOR_SETTINGS", settings.toString());
        builder.redirectErrorStream(true).redirectOutput(ProcessBuilder.Redirect.appendTo(log.toFile()));
        process = builder.start();
    }

    boolean isReady() {
        try (Socket socket = new Socket("127.0.0.1", ready)) {
            socket.setSoTimeout(1000);
            socket.getOutputStream().write("GET /v1/ready HTTP/1.1\r\nHost: a\r\n\r\n".getBytes(StandardCharsets.US_ASCII));
            Wire.Message answer = Wire.message(socket.getInputStream(), true);
            return answer != null && answer.status() == 200;
        } catch (IOException notYet) {
            return false;
        }
    }

    boolean awaitReady(long milliseconds) throws InterruptedException {
        long until = System.nanoTime() + milliseconds * 1_000_000;
        while (System.nanoTime() < until) {
            if (isReady()) {
                return true;
            }
            Thread.sleep(50);
        }
        return false;
    }

    void signal(String signal) throws IOException, InterruptedException {
        new ProcessBuilder("kill", "-" + signal, Long.toString(process.pid())).start().waitFor();
    }

    boolean isAlive() {
        return process != null && process.isAlive();
    }

    boolean awaitExit(long milliseconds) throws InterruptedException {
        return process.waitFor(milliseconds, TimeUnit.MILLISECONDS);
    }

    int exitCode() {
        return process.exitValue();
    }

    void kill() {
        if (process != null) {
            process.destroyForcibly();
        }
    }

    String log() throws IOException {
        return Files.readString(log, StandardCharsets.ISO_8859_1);
    }
}
