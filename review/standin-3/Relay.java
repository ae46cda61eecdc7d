package standin3;

import java.io.IOException;
import java.lang.ProcessBuilder.Redirect;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.util.List;
import java.util.Map;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * The relay of one machine, started with the command and the template of the deploy file.
 *
 * <p>Confined to one thread, but for {@link #post}.
 */
public final class Relay {
    private static final Pattern SECTION =
            Pattern.compile("\\{\\{#([^}]*)}}(.*?)\\{\\{/\\1}}\\n?", Pattern.DOTALL);
    private static final Pattern VALUE = Pattern.compile("\\{\\{([^}|#/^]*)}}");
    private static final Pattern RUN =
            Pattern.compile("^run = \"(.*)\"$", Pattern.MULTILINE);

    private static final int LOG_LINES = 20;

    public final InetSocketAddress callers;
    public final InetSocketAddress control;
    public final InetSocketAddress ready;
    public final InetSocketAddress backend;
    private final Rig rig;
    private final String name;
    private final Map<String, String> values;
    private final Path settings;
    private final Path output;
    private Process process;

    Relay(Rig rig, int machine, String name, Map<String, String> values, Path directory)
            throws IOException {
        this.rig = rig;
        this.name = name;
        this.values = values;
        callers = rig.free(machine);
        control = rig.free(machine);
        ready = rig.free(machine);
        backend = rig.free(machine);
        values.put("listen.outbound", Rig.text(callers));
        values.put("listen.inbound", Rig.text(rig.free(machine)));
        values.put("listen.ready", Rig.text(ready));
        values.put("listen.control", Rig.text(control));
        values.put("appAddr", Rig.text(backend));
        InetSocketAddress metrics = rig.free(machine);
        values.put("ip", metrics.getAddress().getHostAddress());
        values.put("portRange.0", Integer.toString(metrics.getPort()));
        settings = directory.resolve(name + ".properties");
        output = directory.resolve(name + ".log");
        writeSettings();
    }

    private void writeSettings() throws IOException {
        String template = Files.readString(Path.of("deploy", "relay.properties.template"));
        Path written = settings.resolveSibling(name + ".new");
        Files.writeString(written, fill(template, values));
        Files.move(written, settings, StandardCopyOption.ATOMIC_MOVE);
    }

    /** The platform changes a value of the settings file, and says so by SIGHUP. */
    public void changeSetting(String field, String value)
            throws IOException, InterruptedException {
        values.put(field, value);
        writeSettings();
        rig.note("settings change", name + " " + field + " = " + value);
        signal("HUP");
    }

    private static String fill(String template, Map<String, String> values) {
        String plain =
                SECTION.matcher(template)
                        .replaceAll(
                                found ->
                                        values.containsKey(found.group(1))
                                                ? Matcher.quoteReplacement(found.group(2))
                                                : "");
        return VALUE.matcher(plain)
                .replaceAll(
                        found ->
                                Matcher.quoteReplacement(
                                        values.getOrDefault(found.group(1), "")));
    }

    /** Starts the process; also again, after it was ended. */
    public void start() throws IOException {
        Matcher run = RUN.matcher(Files.readString(Path.of("deploy", "system.toml")));
        if (!run.find()) {
            throw new IOException("The deploy file has no command.");
        }
        ProcessBuilder builder = new ProcessBuilder(List.of(run.group(1).split(" ")));
        builder.environment().keySet().retainAll(
                List.of("PATH", "HOME", "JAVA_HOME", "LANG"));
        builder.environment().put("DAMASKMOOR_SETTINGS", settings.toString());
        process =
                builder.redirectErrorStream(true)
                        .redirectOutput(Redirect.appendTo(output.toFile()))
                        .start();
        rig.note("relay starts", name);
    }

    /** Sends a signal, such as STOP or CONT, to the process. */
    public void signal(String signal) throws IOException, InterruptedException {
        rig.note("signal " + signal, name);
        new ProcessBuilder("sh", "-c", "kill -" + signal + " " + process.pid()).start().waitFor();
    }

    /** Kills the process, if it runs. */
    public void kill() {
        if (process.isAlive()) {
            process.destroyForcibly();
            Rig.awaitEnd(process);
        }
    }

    public boolean isAlive() {
        return process.isAlive();
    }

    /** What the process has written so far. */
    public String output() throws IOException {
        return Files.readString(output);
    }

    /** Writes to the record whether it runs, whether it is ready, and the end of its log. */
    void noteState() throws IOException {
        rig.note("relay", name + " runs " + process.isAlive() + " ready " + isReady());
        List<String> lines = output().lines().toList();
        lines.stream()
                .skip(Math.max(0, lines.size() - LOG_LINES))
                .forEach(line -> rig.note("log of " + name, line));
    }

    /** Whether it answers 200 to the platform's question. */
    public boolean isReady() {
        try {
            return exchange(ready, "GET /v1/ready HTTP/1.1\r\nHost: r\r\nConnection: close\r\n\r\n")
                    .startsWith("HTTP/1.1 200");
        } catch (IOException unreachable) {
            return false;
        }
    }

    /** Sends a message of a backend to the control address; returns the status. */
    public int post(String path, String body) throws IOException {
        String answer =
                exchange(
                        control,
                        "POST "
                                + path
                                + " HTTP/1.1\r\nHost: c\r\nConnection: close\r\n"
                                + "Content-Type: application/json\r\nContent-Length: "
                                + body.length()
                                + "\r\n\r\n"
                                + body);
        return answer.length() < 12 ? 0 : Integer.parseInt(answer.substring(9, 12));
    }

    private static String exchange(InetSocketAddress address, String request) throws IOException {
        try (Socket socket = new Socket(address.getAddress(), address.getPort())) {
            socket.setSoTimeout(1000);
            socket.getOutputStream().write(request.getBytes(StandardCharsets.US_ASCII));
            return new String(
                    socket.getInputStream().readAllBytes(), StandardCharsets.ISO_8859_1);
        }
    }
}
