package org.damaskmoor.bench.demo;

import java.util.ArrayList;
import java.util.List;
import org.damaskmoor.bench.demo.Deployment.Service;
import org.damaskmoor.bench.http.JsonObject;

/** Distributes a deployment's upstreams over its data centres. Stateless and thread-safe. */
public final class VmLayout {
    private VmLayout() {}

    /** Assigns each service's upstreams to the data centres round robin. */
    public static List<EmulatedVm> of(Deployment deployment, int basePort) {
        List<String> dataCentres = deployment.dataCentres().names();
        List<EmulatedVm> vms = new ArrayList<>();
        for (Service service : deployment.services()) {
            for (int i = 0; i < service.upstreams(); i++) {
                String dataCentre = dataCentres.get(i % dataCentres.size());
                vms.add(
                        new EmulatedVm(
                                service.configuration().getName() + "-" + (i + 1),
                                deployment.dataCentres().text(dataCentre, ""),
                                dataCentre,
                                service,
                                basePort + EmulatedVm.PORTS * (vms.size() + 1)));
            }
        }
        return vms;
    }

    /** Returns how many consecutive ports a deployment needs. */
    public static int ports(Deployment deployment) {
        int upstreams = deployment.services().stream().mapToInt(Service::upstreams).sum();
        return EmulatedVm.PORTS * (upstreams + 1);
    }

    /** Returns the link file, which maps every port to its data centre. */
    public static JsonObject linkFile(Deployment deployment, List<EmulatedVm> vms) {
        JsonObject ports = new JsonObject();
        for (EmulatedVm vm : vms) {
            ports.with(String.valueOf(vm.meshPort()), vm.dataCentre());
            ports.with(String.valueOf(vm.gossipPort()), vm.dataCentre());
        }
        return new JsonObject()
                .with("data_centres", deployment.dataCentres())
                .with("ports", ports)
                .with("between_data_centres", deployment.content().object("between_data_centres"))
                .with("between_regions", deployment.content().object("between_regions"));
    }
}
