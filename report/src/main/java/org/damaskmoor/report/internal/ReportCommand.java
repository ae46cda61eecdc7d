package org.damaskmoor.report.internal;

import com.github.rvesse.airline.HelpOption;
import com.github.rvesse.airline.annotations.AirlineModule;
import com.github.rvesse.airline.annotations.Option;
import java.io.IOException;
import java.io.PrintStream;
import java.net.URI;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.InvalidPathException;
import java.nio.file.Path;
import java.time.Instant;
import java.util.List;
import java.util.SplittableRandom;
import org.damaskmoor.platform.PlatformClient;
import org.damaskmoor.platform.PlatformClientLimits;

/**
 * Base class of the report commands, with the options for the object store and the output.
 *
 * <p>Invariant: every option is validated before data is read. Not thread-safe.
 */
public abstract class ReportCommand {
    private static final String URL_VARIABLE = "DAMASKMOOR_OBJECT_STORE_URL";

    @AirlineModule HelpOption<ReportCommand> help;

    @Option(
            name = "--object-store-url",
            title = "url",
            description = "The platform's object store. Also: " + URL_VARIABLE + ".")
    String objectStoreUrl = System.getenv(URL_VARIABLE);

    @Option(
            name = "--output",
            title = "format",
            description = "text, json or html; html needs --file. Default: text.")
    String output = "text";

    @Option(
            name = "--file",
            title = "path",
            description = "File to write instead of standard output.")
    String file;

    /** Shows the help if it was requested, otherwise writes the report. */
    public final void run(PrintStream out, Instant now) throws IOException {
        if (help != null && help.showHelpIfRequested()) {
            return;
        }
        URI url = OptionValidator.requireUrl("--object-store-url", objectStoreUrl);
        OptionValidator.requireOneOf("--output", output, List.of("text", "json", "html"));
        Path target = file();
        validateOptions(now);
        Report report;
        try (PlatformClient client =
                new PlatformClient(PlatformClientLimits.defaults(), new SplittableRandom())) {
            report = buildReport(client, url, now);
        }
        write(render(report), target, out);
    }

    private Path file() {
        if (file == null) {
            OptionValidator.requireOneOf("--output", output, List.of("text", "json"));
            return null;
        }
        try {
            Path path = Path.of(file).toAbsolutePath();
            if (!file.isBlank()
                    && Files.isDirectory(path.getParent())
                    && !Files.isDirectory(path)) {
                return path;
            }
        } catch (InvalidPathException malformed) {
            throw new InvalidOptionException("--file", file, "a path of this file system");
        }
        throw new InvalidOptionException("--file", file, "a file in a directory that exists");
    }

    private String render(Report report) {
        return switch (output) {
            case "json" -> ReportRenderer.json(report);
            case "html" -> ReportRenderer.html(report);
            default -> ReportRenderer.text(report);
        };
    }

    private static void write(String text, Path target, PrintStream out) throws IOException {
        if (target == null) {
            out.print(text);
            out.flush();
        } else {
            Files.writeString(target, text, StandardCharsets.UTF_8);
        }
    }

    abstract void validateOptions(Instant now);

    abstract Report buildReport(PlatformClient client, URI objectStore, Instant now);
}
