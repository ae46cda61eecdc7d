package org.damaskmoor.bench.experiment;

import java.util.ArrayList;
import java.util.List;
import org.damaskmoor.bench.http.JsonObject;

/**
 * One upstream VM of an experiment: the location and ports of an upstream and its node. Immutable.
 *
 * @param basePort the first of the {@link #PORTS} consecutive ports of the VM
 */
record ExperimentVm(String nodeId, String region, String dataCentre, int basePort) {
    /** Number of ports that each VM uses. */
    static final int PORTS = 6;

    /** Returns one VM for each upstream of the scenario, in the order of its sites. */
    static List<ExperimentVm> layOut(Scenario scenario, int firstPort) {
        List<ExperimentVm> vms = new ArrayList<>();
        for (Scenario.Site site : scenario.sites()) {
            for (int i = 0; i < site.upstreams(); i++) {
                int basePort = firstPort + vms.size() * PORTS;
                String nodeId = "node-" + (vms.size() + 1);
                vms.add(new ExperimentVm(nodeId, site.region(), site.dataCentre(), basePort));
            }
        }
        return vms;
    }

    /** Returns the link file, which maps every port to its data centre. */
    static JsonObject linkFile(Scenario scenario, List<ExperimentVm> vms) {
        JsonObject ports = new JsonObject();
        JsonObject dataCentres = new JsonObject();
        for (ExperimentVm vm : vms) {
            ports.with(String.valueOf(vm.meshPort()), vm.dataCentre());
            ports.with(String.valueOf(vm.gossipPort()), vm.dataCentre());
            dataCentres.with(vm.dataCentre(), vm.region());
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
