package org.damaskmoor.bench.experiment;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import org.damaskmoor.bench.experiment.Scenario.Bound;
import org.damaskmoor.bench.experiment.Scenario.Fault;
import org.damaskmoor.bench.experiment.Scenario.FaultKind;
import org.damaskmoor.bench.experiment.Scenario.Measure;
import org.damaskmoor.bench.experiment.Scenario.Site;
import org.damaskmoor.bench.http.JsonObject;

/**
 * Reads scenario files such as examples/experiments.json. Stateless and thread-safe.
 *
 * <pre>{@code
 * List<Scenario> scenarios = ScenarioFile.parse(Files.readString(path));
 * }</pre>
 */
public final class ScenarioFile {
    private static final double MAX_LOAD = 10;
    private static final int MAX_UPSTREAMS = 100;
    private static final int MAX_SLOTS = 1000;
    private static final double MAX_MILLISECONDS = 60_000;
    private static final double MAX_FACTOR = 1000;
    private static final Fault NO_FAULT = new Fault(FaultKind.NONE, 0, 1, 0, 0);

    private ScenarioFile() {}

    /**
     * Returns the scenarios of a file.
     *
     * @throws IllegalArgumentException when fields are invalid; the message names each of them
     */
    public static List<Scenario> parse(String text) {
        List<String> problems = new ArrayList<>();
        FieldReader file = new FieldReader(JsonObject.parse(text), "", problems);
        List<Scenario> scenarios =
                file.objects("scenarios").stream().map(ScenarioFile::scenario).toList();
        file.rejectUnknownFields();
        if (!problems.isEmpty()) {
            throw new IllegalArgumentException(
                    "The scenario file is invalid; correct these fields: "
                            + String.join("; ", problems));
        }
        return scenarios;
    }

    private static Scenario scenario(FieldReader fields) {
        List<Site> sites = fields.objects("sites").stream().map(ScenarioFile::site).toList();
        Scenario scenario =
                new Scenario(
                        fields.text("name"),
                        fields.number("load", 0.01, MAX_LOAD),
                        sites,
                        (int) fields.number("slots", 1, MAX_SLOTS),
                        fields.number("service_milliseconds", 1, MAX_MILLISECONDS),
                        fields.number("booking_share", 0, 1, 0),
                        List.of(entryRegion(fields, sites)),
                        fields.object("links").rawObject(),
                        fields.has("fault") ? fault(fields.object("fault")) : NO_FAULT,
                        (long) fields.number("report_delay_milliseconds", 0, MAX_MILLISECONDS, 0),
                        bounds(fields.object("bounds")));
        if (scenario.fault().upstreams() > scenario.upstreams()) {
            fields.addProblem(
                    "fault.upstreams", "must be at most the number of upstreams at all sites");
        }
        fields.rejectUnknownFields();
        return scenario;
    }

    /** Returns the region that callers send to; by default the region of the first site. */
    private static String entryRegion(FieldReader fields, List<Site> sites) {
        String first = sites.isEmpty() ? "" : sites.get(0).region();
        String region = fields.has("entry_region") ? fields.text("entry_region") : first;
        if (sites.stream().noneMatch(site -> site.region().equals(region))) {
            fields.addProblem("entry_region", "must be the region of a site");
        }
        return region;
    }

    private static Site site(FieldReader fields) {
        Site site =
                new Site(
                        fields.text("data_centre"),
                        fields.text("region"),
                        (int) fields.number("upstreams", 1, MAX_UPSTREAMS));
        fields.rejectUnknownFields();
        return site;
    }

    private static Fault fault(FieldReader fields) {
        Fault fault =
                new Fault(
                        fields.enumConstant("kind", FaultKind.class),
                        (int) fields.number("upstreams", 1, MAX_UPSTREAMS, 1),
                        fields.number("factor", 1, MAX_FACTOR, 1),
                        (long) fields.number("spell_milliseconds", 1, MAX_MILLISECONDS, 1),
                        (long) fields.number("pause_milliseconds", 1, MAX_MILLISECONDS, 1));
        fields.rejectUnknownFields();
        return fault;
    }

    private static List<Bound> bounds(FieldReader fields) {
        List<Bound> bounds = new ArrayList<>();
        for (Measure measure : Measure.values()) {
            String name = measure.name().toLowerCase(Locale.ROOT);
            if (fields.has(name)) {
                bounds.add(new Bound(measure, fields.number(name, 0, MAX_FACTOR)));
            }
        }
        fields.rejectUnknownFields();
        return bounds;
    }
}
