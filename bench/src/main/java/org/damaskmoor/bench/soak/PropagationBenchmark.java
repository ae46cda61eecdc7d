package org.damaskmoor.bench.soak;

import java.io.IOException;
import java.net.URI;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.damaskmoor.bench.demo.Deployment;
import org.damaskmoor.bench.demo.EmulatedVm;
import org.damaskmoor.bench.demo.Site;
import org.damaskmoor.bench.http.BlockingClient;
import org.damaskmoor.bench.http.JsonObject;
import org.damaskmoor.bench.load.LoadRun;
import org.damaskmoor.bench.load.PlannedCall;
import org.damaskmoor.bench.load.Schedule;
import org.damaskmoor.operator.OperatorClient;
import org.damaskmoor.operator.OperatorException;
import org.damaskmoor.schema.configuration.ServiceConfiguration;
import org.damaskmoor.schema.configuration.VersionedConfiguration;

/**
 * Measures propagation times on a running site: of an accepted configuration to every node, and of
 * the draining of an upstream to all nodes that send to it.
 *
 * <p>Used by one thread.
 */
final class PropagationBenchmark {
    private static final long POLL_MILLISECONDS = 10;
    private static final long PROPAGATION_TIMEOUT_SECONDS = 60;
    private static final double LOAD_PER_SECOND = 100;
    private static final double LOAD_SECONDS = 10;
    private static final long WARM_UP_MILLISECONDS = 3_000;
    private static final long OBSERVATION_MILLISECONDS = 5_000;

    private final Deployment deployment;
    private final Site site;
    private final BlockingClient client;
    private final List<OperatorClient> operators;

    /**
     * @param operators one client per VM, in the same order
     */
    PropagationBenchmark(
            Deployment deployment,
            Site site,
            BlockingClient client,
            List<OperatorClient> operators) {
        this.deployment = deployment;
        this.site = site;
        this.client = client;
        this.operators = List.copyOf(operators);
    }

    /**
     * Changes the service and returns the seconds from the acceptance of the change until every
     * node uses it.
     *
     * @param number unique number of this change; selects the node that accepts it
     * @param storeDown whether the platform goes down right after the acceptance
     */
    double configurationSeconds(String service, int number, boolean storeDown)
            throws IOException, OperatorException, InterruptedException {
        OperatorClient operator = operators.get(number % operators.size());
        VersionedConfiguration current = operator.find(service).orElseThrow();
        ServiceConfiguration updated =
                current.getService().toBuilder().addPathPrefixes("/spread-" + number).build();
        long version =
                operator.apply(updated, current.getVersion(), "spread-" + number).getVersion();
        long accepted = System.nanoTime();
        if (storeDown) {
            platform("down");
        }
        awaitVersion(service, version);
        double seconds = secondsSince(accepted);
        platform("none");
        return seconds;
    }

    private void awaitVersion(String service, long version)
            throws IOException, OperatorException, InterruptedException {
        long end = System.nanoTime() + TimeUnit.SECONDS.toNanos(PROPAGATION_TIMEOUT_SECONDS);
        List<OperatorClient> behind = new ArrayList<>(operators);
        while (true) {
            for (OperatorClient operator : List.copyOf(behind)) {
                if (operator.versionInForce(service) >= version) {
                    behind.remove(operator);
                }
            }
            if (behind.isEmpty()) {
                return;
            }
            if (System.nanoTime() > end) {
                throw new IOException(behind.size() + " nodes did not reach version " + version);
            }
            Thread.sleep(POLL_MILLISECONDS);
        }
    }

    /** Drains an upstream under load and returns the seconds until its last new request. */
    double drainSeconds(EmulatedVm vm, long seed) throws IOException, InterruptedException {
        CompletableFuture<Void> load = CompletableFuture.runAsync(() -> load(seed));
        Thread.sleep(WARM_UP_MILLISECONDS);
        upstream(vm, new JsonObject().with("state", "leaving"));
        long drainStarted = System.nanoTime();
        long last = drainStarted;
        double served = served(vm);
        while (System.nanoTime() - drainStarted
                < TimeUnit.MILLISECONDS.toNanos(OBSERVATION_MILLISECONDS)) {
            double now = served(vm);
            last = now > served ? System.nanoTime() : last;
            served = now;
            Thread.sleep(POLL_MILLISECONDS);
        }
        load.join();
        upstream(vm, new JsonObject().with("state", "serving"));
        return (last - drainStarted) / (double) TimeUnit.SECONDS.toNanos(1);
    }

    private void load(long seed) {
        List<PlannedCall> calls =
                new Schedule(
                                deployment.requests(),
                                new Random(seed),
                                "spread-" + seed,
                                Schedule.Shares.DEMO)
                        .plan(LOAD_PER_SECOND, LOAD_SECONDS).stream()
                                .filter(call -> !call.direct())
                                .toList();
        List<URI> entries = site.vms().stream().map(EmulatedVm::entryUrl).map(URI::create).toList();
        try {
            new LoadRun(entries, List.of(), sent -> {}).run(calls);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private double served(EmulatedVm vm) throws IOException {
        String counters = client.get(vm.upstreamUrl() + "/stand-in/counters").body().toStringUtf8();
        return JsonObject.parse(counters).number("served", 0);
    }

    private void upstream(EmulatedVm vm, JsonObject faults) throws IOException {
        client.post(vm.upstreamUrl() + "/stand-in/faults", faults.toString());
    }

    private void platform(String mode) throws IOException {
        client.post(
                site.platformUrl() + "/stand-in/faults",
                new JsonObject().with("mode", mode).toString());
    }

    private static double secondsSince(long nanoseconds) {
        return (System.nanoTime() - nanoseconds) / (double) TimeUnit.SECONDS.toNanos(1);
    }
}
