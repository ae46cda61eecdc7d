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
 * What the commands have in common: where to read, how to write.
 *
 * <p>Invariant: every option is checked before anything is read. Not thread-safe.
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

    @Option(name = "--file", title = "path", description = "File to write instead of the output.")
    String file;

    /** Shows the help if it was asked for, else writes the report. */
    public final void run(PrintStream out, Instant now) throws IOException {
        if (help != null && help.showHelpIfRequested()) {
            return;
        }
        URI url = OptionValidator.requireUrl("--object-store-url", objectStoreUrl);
        OptionValidator.requireOneOf("--output", output, List.of("text", "json", "html"));
        Path target = file();
        validateOptions(now);
        Report page;
        try (PlatformClient client =
                new PlatformClient(PlatformClientLimits.defaults(), new SplittableRandom())) {
            page = buildReport(client, url, now);
        }
        write(render(page), target, out);
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

    private String render(Report page) {
        return switch (output) {
            case "json" -> ReportRenderer.json(page);
            case "html" -> ReportRenderer.html(page);
            default -> ReportRenderer.text(page);
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
