package org.damaskmoor.bench.link;

import java.util.HashMap;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.damaskmoor.bench.http.JsonObject;

/**
 * The content of a link file: the data centre of each port and the behaviour of the links.
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

    /**
     * Returns the data centre of the port, or an empty string if the file does not list the port.
     */
    String dataCentre(int port) {
        return dataCentreByPort.getOrDefault(port, "");
    }

    /** Returns the behaviour of the link between two different data centres. */
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

    /**
     * Returns the name of the group of channels that share one rate: the pair of regions if they
     * differ, else the pair of data centres.
     */
    String rateGroup(String from, String to) {
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
