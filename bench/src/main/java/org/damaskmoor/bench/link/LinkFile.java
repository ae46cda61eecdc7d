package org.damaskmoor.bench.link;

import java.util.HashMap;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.damaskmoor.bench.http.JsonObject;

/**
 * What a link file says: where each port stands and how the links behave.
 *
 * <pre>{@code
 * {"data_centres": {"bern-nord": "mittelland", "spiez": "oberland"},
 *  "ports": {"7400": "bern-nord", "7500": "spiez"},
 *  "between_data_centres": {"delay_milliseconds": 1},
 *  "between_regions": {"delay_milliseconds": 30, "bits_per_second": 30000000},
 *  "cuts": ["mittelland/oberland"],
 *  "silences": {"bern-nord/spiez": 1}}
 * }</pre>
 *
 * <p>A cut or silence names two regions or two data centres, in either order. Immutable.
 */
public final class LinkFile {
    private final JsonObject content;
    private final Map<Integer, String> dataCentreByPort = new HashMap<>();

    public LinkFile(JsonObject content) {
        this.content = content;
        JsonObject ports = content.object("ports");
        ports.names()
                .forEach(port -> dataCentreByPort.put(Integer.valueOf(port), ports.text(port, "")));
    }

    /** Returns the data centre in which the port stands, empty when the file does not say. */
    String dataCentre(int port) {
        return dataCentreByPort.getOrDefault(port, "");
    }

    /** Returns how the link between two different data centres behaves. */
    Link.Profile profile(String from, String to) {
        String fromRegion = region(from);
        String toRegion = region(to);
        boolean regional = !fromRegion.equals(toRegion);
        JsonObject link = content.object(regional ? "between_regions" : "between_data_centres");
        Set<String> names =
                Set.of(
                        from + "/" + to,
                        to + "/" + from,
                        regional ? fromRegion + "/" + toRegion : "",
                        regional ? toRegion + "/" + fromRegion : " ");
        return new Link.Profile(
                TimeUnit.MICROSECONDS.toNanos((long) (link.number("delay_milliseconds", 0) * 1000)),
                (long) link.number("bits_per_second", 0),
                content.list("cuts", String.class).stream().anyMatch(names::contains),
                silences(names));
    }

    /** Returns the pair of places whose channels share one rate: regions if they differ. */
    String sharedName(String from, String to) {
        return region(from).equals(region(to)) ? from + "/" + to : region(from) + "/" + region(to);
    }

    private String region(String dataCentre) {
        return content.object("data_centres").text(dataCentre, "");
    }

    private int silences(Set<String> names) {
        JsonObject silences = content.object("silences");
        return names.stream().mapToInt(name -> (int) silences.number(name, 0)).sum();
    }
}
