package org.damaskmoor.bench.soak;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Predicate;
import org.damaskmoor.bench.demo.ChildProcesses;
import org.damaskmoor.bench.demo.EmulatedVm;
import org.damaskmoor.bench.demo.Site;
import org.damaskmoor.bench.http.BlockingClient;
import org.damaskmoor.bench.http.JsonObject;

/**
 * Creates faults for the processes and links of one site.
 *
 * <p>Not thread safe.
 */
public final class SiteFaults {
    /** An action that starts or ends a fault. */
    @FunctionalInterface
    public interface Step {
        /** Runs the action. */
        void run() throws IOException, InterruptedException;
    }

    /**
     * A fault that is ready to be injected. Immutable.
     *
     * @param subject the affected process or link; two faults of one subject must not overlap
     */
    public record Fault(String subject, Step begin, Step end) {}

    private static final Step NOTHING = () -> {};

    private final Site site;
    private final ChildProcesses children;
    private final BlockingClient client;
    private final LinkFaults links;

    public SiteFaults(Site site, ChildProcesses children, BlockingClient client, LinkFaults links) {
        this.site = site;
        this.children = children;
        this.client = client;
        this.links = links;
    }

    /** Returns the fault of this site for a planned fault. */
    public Fault of(PlannedFault planned) {
        EmulatedVm vm = site.vms().get(planned.number() % site.vms().size());
        return switch (planned.kind()) {
            case KILL_NODE -> killed(vm.nodeId(), () -> site.startNode(vm));
            case FREEZE_NODE -> frozen(vm.nodeId());
            case STOP_NODE -> stopped(vm);
            case KILL_UPSTREAM -> killed(vm.upstreamName(), () -> site.startUpstream(vm));
            case FREEZE_UPSTREAM -> frozen(vm.upstreamName());
            case CUT_DATA_CENTRES -> cut(pair(planned, this::isWithinRegion));
            case CUT_REGIONS -> cut(regions());
            case SILENCE_DATA_CENTRES -> silence(pair(planned, pair -> true));
            case SILENCE_REGIONS -> silence(regions());
            case PLATFORM_DOWN -> platform("down");
            case PLATFORM_SLOW -> platform("slow");
            case PLATFORM_LOSES_ANSWERS -> platform("lose-answers");
        };
    }

    private Fault killed(String name, Step restart) {
        return new Fault(
                name,
                () -> {
                    children.kill(name);
                    children.awaitEnd(name);
                },
                restart);
    }

    private Fault frozen(String name) {
        return new Fault(name, () -> children.freeze(name), () -> children.resume(name));
    }

    private Fault stopped(EmulatedVm vm) {
        return new Fault(
                vm.nodeId(),
                () -> children.terminate(vm.nodeId()),
                () -> {
                    children.awaitEnd(vm.nodeId());
                    site.startNode(vm);
                });
    }

    private Fault cut(String pair) {
        return new Fault("link " + pair, () -> links.cut(pair), () -> links.heal(pair));
    }

    private Fault silence(String pair) {
        return new Fault("link " + pair, () -> links.silence(pair), NOTHING);
    }

    private Fault platform(String mode) {
        return new Fault("platform", () -> switchPlatform(mode), () -> switchPlatform("none"));
    }

    private void switchPlatform(String mode) throws IOException {
        JsonObject wanted = new JsonObject().with("mode", mode).with("delay_milliseconds", 1500);
        client.post(site.platformUrl() + "/stand-in/faults", wanted.toString());
    }

    private String regions() {
        List<String> names = site.vms().stream().map(EmulatedVm::region).distinct().toList();
        return names.get(0) + "/" + names.get(1);
    }

    private String pair(PlannedFault planned, Predicate<List<EmulatedVm>> wanted) {
        List<List<EmulatedVm>> pairs = new ArrayList<>();
        for (EmulatedVm first : site.vms()) {
            for (EmulatedVm second : site.vms()) {
                boolean ordered = first.dataCentre().compareTo(second.dataCentre()) < 0;
                if (ordered && wanted.test(List.of(first, second))) {
                    pairs.add(List.of(first, second));
                }
            }
        }
        List<EmulatedVm> chosen = pairs.get(planned.number() % pairs.size());
        return chosen.get(0).dataCentre() + "/" + chosen.get(1).dataCentre();
    }

    private boolean isWithinRegion(List<EmulatedVm> pair) {
        return pair.get(0).region().equals(pair.get(1).region());
    }
}
