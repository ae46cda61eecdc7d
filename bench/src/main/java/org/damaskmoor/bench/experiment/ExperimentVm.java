package org.damaskmoor.bench.experiment;

import java.util.ArrayList;
import java.util.List;
import org.damaskmoor.bench.http.JsonObject;

/**
 * Where one upstream and the node beside it stand, and their ports. Immutable.
 *
 * @param basePort the first of their ports
 */
record ExperimentVm(String nodeId, String region, String dataCentre, int basePort) {
    static final int PORTS = 6;

    /** Returns the places of all upstreams of the scenario, in the order of its sites. */
    static List<ExperimentVm> layOut(Scenario scenario, int firstPort) {
        List<ExperimentVm> places = new ArrayList<>();
        for (Scenario.Site site : scenario.sites()) {
            for (int i = 0; i < site.upstreams(); i++) {
                int basePort = firstPort + places.size() * PORTS;
                String nodeId = "node-" + (places.size() + 1);
                places.add(new ExperimentVm(nodeId, site.region(), site.dataCentre(), basePort));
            }
        }
        return places;
    }

    /** Returns the link file that says where every port stands. */
    static JsonObject linkFile(Scenario scenario, List<ExperimentVm> places) {
        JsonObject ports = new JsonObject();
        JsonObject dataCentres = new JsonObject();
        for (ExperimentVm place : places) {
            ports.with(String.valueOf(place.meshPort()), place.dataCentre());
            ports.with(String.valueOf(place.gossipPort()), place.dataCentre());
            dataCentres.with(place.dataCentre(), place.region());
        }
        return new JsonObject()
                .with("data_centres", dataCentres)
                .with("ports", ports)
                .with("between_data_centres", scenario.links().object("between_data_centres"))
                .with("between_regions", scenario.links().object("between_regions"));
    }

    int httpPort() {
        return basePort;
    }

    int meshPort() {
        return basePort + 1;
    }

    int gossipPort() {
        return basePort + 2;
    }

    int controlPort() {
        return basePort + 3;
    }

    int operatorPort() {
        return basePort + 4;
    }

    int upstreamPort() {
        return basePort + 5;
    }

    String entryUrl() {
        return url(httpPort());
    }

    String controlUrl() {
        return url(controlPort());
    }

    String upstreamUrl() {
        return url(upstreamPort());
    }

    static String url(int port) {
        return "http://127.0.0.1:" + port;
    }
}
