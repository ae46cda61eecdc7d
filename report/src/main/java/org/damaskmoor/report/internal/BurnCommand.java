package org.damaskmoor.report.internal;

import com.github.rvesse.airline.annotations.Command;
import com.github.rvesse.airline.annotations.Option;
import com.github.rvesse.airline.annotations.help.Examples;
import com.github.rvesse.airline.annotations.help.ExitCodes;
import com.google.protobuf.InvalidProtocolBufferException;
import java.net.URI;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import org.damaskmoor.platform.PlatformClient;
import org.damaskmoor.platform.Row;
import org.damaskmoor.platform.TableService;
import org.damaskmoor.report.AccountingReader;
import org.damaskmoor.report.BurnRateCalculator;
import org.damaskmoor.report.BurnRateCalculator.Burn;
import org.damaskmoor.report.BurnRateCalculator.Window;
import org.damaskmoor.report.internal.Report.Plot;
import org.damaskmoor.report.internal.Report.Table;
import org.damaskmoor.schema.accounting.RequestCount;
import org.damaskmoor.schema.configuration.ServiceConfiguration;
import org.damaskmoor.schema.configuration.VersionedConfiguration;

/** Command {@code damaskmoor-report burn}. Not thread-safe. */
@Command(name = "burn", description = "How fast services use up their error budgets.")
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
                "damaskmoor-report burn --object-store-url http://127.0.0.1:9001"
                        + " --table-service-url http://127.0.0.1:9000 --output html --file burn.html",
        descriptions = "All services' burn rates now, as a page with plots.")
public final class BurnCommand extends ReportCommand {
    private static final String URL_VARIABLE = "DAMASKMOOR_TABLE_SERVICE_URL";
    private static final int PAGE_ROWS = 500;

    @Option(
            name = "--table-service-url",
            title = "url",
            description =
                    "The platform's table service, which holds the objectives. Also: "
                            + URL_VARIABLE
                            + ".")
    String tableServiceUrl = System.getenv(URL_VARIABLE);

    @Option(name = "--service", title = "name", description = "Only this service.")
    String service;

    @Option(name = "--to", title = "instant", description = "End of the windows. Default: now.")
    String to;

    private long lastEpochMinute;
    private URI tableService;

    @Override
    void validateOptions(Instant now) {
        tableService = OptionValidator.requireUrl("--table-service-url", tableServiceUrl);
        OptionValidator.requireName("--service", service);
        lastEpochMinute = OptionValidator.parseEpochMinute("--to", to, now.getEpochSecond() / 60);
    }

    @Override
    Report buildReport(PlatformClient client, URI objectStore, Instant now) {
        List<ServiceConfiguration> services = services(client.tableService(tableService));
        List<RequestCount> counts =
                new AccountingReader(client.objectStore(objectStore))
                        .requests(
                                lastEpochMinute - Window.THREE_DAYS.minutes() + 1,
                                lastEpochMinute + 1);
        List<Burn> burns = BurnRateCalculator.calculate(services, counts, lastEpochMinute);
        String title = "Service level burn at " + Instant.ofEpochSecond(lastEpochMinute * 60);
        return new Report(title, List.of(objectives(burns), rates(burns)), plots(burns));
    }

    private List<ServiceConfiguration> services(TableService tables) {
        List<ServiceConfiguration> services = new ArrayList<>();
        String after = "";
        List<Row> page;
        do {
            page = tables.list("services", "", after, PAGE_ROWS).join();
            for (Row row : page) {
                VersionedConfiguration configuration = parse(row);
                boolean wanted = service == null || row.key().equals(service);
                if (wanted && !configuration.getDeleted()) {
                    services.add(configuration.getService());
                }
                after = row.key();
            }
        } while (!page.isEmpty());
        return services;
    }

    private static VersionedConfiguration parse(Row row) {
        try {
            return VersionedConfiguration.parseFrom(row.value());
        } catch (InvalidProtocolBufferException malformed) {
            throw new IllegalStateException(
                    "Row "
                            + row.key()
                            + " of the table services is not a valid VersionedConfiguration.",
                    malformed);
        }
    }

    private static Table objectives(List<Burn> burns) {
        return new Table(
                "objectives",
                List.of(
                        "service",
                        "kind",
                        "target_parts_per_million",
                        "latency_milliseconds",
                        "p99_at_most_milliseconds",
                        "budget_left",
                        "alert"),
                burns.stream().map(BurnCommand::objective).toList());
    }

    private static List<Object> objective(Burn burn) {
        return List.of(
                burn.service(),
                burn.kind(),
                burn.objective().getTargetPartsPerMillion(),
                burn.objective().getLatencyMilliseconds(),
                burn.p99Milliseconds() == Long.MAX_VALUE ? "above" : burn.p99Milliseconds(),
                burn.budgetLeft(),
                burn.alert());
    }

    private static Table rates(List<Burn> burns) {
        List<List<Object>> rows = new ArrayList<>();
        for (Burn burn : burns) {
            burn.rates()
                    .forEach(
                            rate ->
                                    rows.add(
                                            List.of(
                                                    burn.service(),
                                                    burn.kind(),
                                                    rate.window().label(),
                                                    rate.weight(),
                                                    rate.badWeight(),
                                                    rate.burnRate())));
        }
        return new Table(
                "burn_rates",
                List.of("service", "kind", "window", "weight", "bad_weight", "burn_rate"),
                rows);
    }

    private static List<Plot> plots(List<Burn> burns) {
        return burns.stream()
                .map(
                        burn ->
                                new Plot(
                                        (burn.service() + " " + burn.kind()).trim(),
                                        "burn rate",
                                        burn.rates().stream()
                                                .map(rate -> rate.window().label())
                                                .toList(),
                                        burn.rates().stream()
                                                .map(rate -> finiteOrZero(rate.burnRate()))
                                                .toList()))
                .toList();
    }

    private static double finiteOrZero(double rate) {
        return Double.isFinite(rate) ? rate : 0;
    }
}
