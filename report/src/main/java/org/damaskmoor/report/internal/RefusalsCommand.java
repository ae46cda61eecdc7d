package org.damaskmoor.report.internal;

import com.github.rvesse.airline.annotations.Command;
import com.github.rvesse.airline.annotations.Option;
import com.github.rvesse.airline.annotations.help.Examples;
import com.github.rvesse.airline.annotations.help.ExitCodes;
import java.net.URI;
import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;
import java.util.stream.Collectors;
import org.damaskmoor.core.accounting.RefusalSummary;
import org.damaskmoor.core.accounting.RefusalSummary.Line;
import org.damaskmoor.platform.PlatformClient;
import org.damaskmoor.report.AccountingReader;
import org.damaskmoor.report.internal.Report.Plot;
import org.damaskmoor.report.internal.Report.Table;

/** Command {@code damaskmoor-report refusals}. Not thread-safe. */
@Command(name = "refusals", description = "Refusals of a time span by caller and reason.")
@ExitCodes(
        codes = {0, 1, 2, 3},
        descriptions = {
            "The report was written.",
            "An unexpected failure occurred.",
            "An option is invalid.",
            "The platform did not answer."
        })
@Examples(
        examples =
                "damaskmoor-report refusals --object-store-url http://127.0.0.1:9001"
                        + " --from 2026-12-04T04:00:00Z --service besuch",
        descriptions = "Refusals of besuch since four o'clock, as text.")
public final class RefusalsCommand extends ReportCommand {
    @Option(name = "--from", title = "instant", description = "Default: an hour before --to.")
    String from;

    @Option(name = "--to", title = "instant", description = "Not included. Default: now.")
    String to;

    @Option(name = "--service", title = "name", description = "Only this service.")
    String service;

    @Option(name = "--caller", title = "name", description = "Only this caller.")
    String caller;

    private long fromEpochMinute;
    private long toEpochMinute;

    @Override
    void validateOptions(Instant now) {
        long nextMinute = now.getEpochSecond() / 60 + 1;
        toEpochMinute = OptionValidator.parseEpochMinute("--to", to, nextMinute);
        fromEpochMinute =
                OptionValidator.parseEpochMinute(
                        "--from", from, toEpochMinute - Duration.ofHours(1).toMinutes());
        if (fromEpochMinute >= toEpochMinute) {
            throw new InvalidOptionException(
                    "--from", String.valueOf(from), "an instant at least a minute before --to");
        }
        OptionValidator.requireName("--service", service);
        OptionValidator.requireName("--caller", caller);
    }

    @Override
    Report buildReport(PlatformClient client, URI objectStore, Instant now) {
        RefusalSummary summary =
                new AccountingReader(client.objectStore(objectStore))
                        .refusals(fromEpochMinute, toEpochMinute);
        List<Line> lines =
                summary.lines().stream()
                        .filter(line -> service == null || line.key().service().equals(service))
                        .filter(line -> caller == null || line.key().caller().equals(caller))
                        .toList();
        String title =
                "Refusals from " + instant(fromEpochMinute) + " to " + instant(toEpochMinute);
        return new Report(
                title,
                List.of(totals(summary, lines), refusals(lines), gaps(summary), missing(summary)),
                List.of(
                        plot("Refusals by reason", byReason(lines)),
                        plot("Refusals by caller", byCaller(lines))));
    }

    private static Table totals(RefusalSummary summary, List<Line> lines) {
        long count = lines.stream().mapToLong(Line::count).sum();
        long weight = lines.stream().mapToLong(Line::weight).sum();
        long gaps = summary.gaps().stream().mapToLong(RefusalSummary.Gap::count).sum();
        return new Table(
                "totals",
                List.of(
                        "refusals",
                        "weight",
                        "folded",
                        "answered_before_stored",
                        "batches_missing"),
                List.of(List.of(count, weight, summary.folded(), gaps, missingBatches(summary))));
    }

    private static long missingBatches(RefusalSummary summary) {
        return summary.missing().stream()
                .mapToLong(batches -> batches.last() - batches.first() + 1)
                .sum();
    }

    private static Table refusals(List<Line> lines) {
        return new Table(
                "refusals",
                List.of("service", "caller", "reason", "refusals", "weight"),
                lines.stream()
                        .map(
                                line ->
                                        List.<Object>of(
                                                line.key().service(),
                                                line.key().caller(),
                                                reason(line),
                                                line.count(),
                                                line.weight()))
                        .toList());
    }

    private static Table gaps(RefusalSummary summary) {
        return new Table(
                "gaps",
                List.of("node", "incarnation", "minute", "refusals"),
                summary.gaps().stream()
                        .map(
                                gap ->
                                        List.<Object>of(
                                                gap.node(),
                                                gap.incarnation(),
                                                instant(gap.epochMinute()),
                                                gap.count()))
                        .toList());
    }

    private static Table missing(RefusalSummary summary) {
        return new Table(
                "missing_batches",
                List.of("node", "incarnation", "first", "last"),
                summary.missing().stream()
                        .map(
                                batches ->
                                        List.<Object>of(
                                                batches.node(),
                                                batches.incarnation(),
                                                batches.first(),
                                                batches.last()))
                        .toList());
    }

    private static Map<String, Long> byReason(List<Line> lines) {
        return lines.stream()
                .collect(
                        Collectors.groupingBy(
                                RefusalsCommand::reason,
                                TreeMap::new,
                                Collectors.summingLong(Line::count)));
    }

    private static Map<String, Long> byCaller(List<Line> lines) {
        return lines.stream()
                .collect(
                        Collectors.groupingBy(
                                line -> line.key().caller(),
                                TreeMap::new,
                                Collectors.summingLong(Line::count)));
    }

    private static Plot plot(String title, Map<String, Long> counts) {
        return new Plot(
                title,
                "refusals",
                List.copyOf(counts.keySet()),
                counts.values().stream().map(Long::doubleValue).toList());
    }

    private static String reason(Line line) {
        return line.key().reason().name().toLowerCase(Locale.ROOT).replace('_', '-');
    }

    private static String instant(long epochMinute) {
        return Instant.ofEpochSecond(epochMinute * 60).toString();
    }
}
