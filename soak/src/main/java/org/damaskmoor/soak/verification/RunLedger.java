package org.damaskmoor.soak.verification;

import java.util.List;
import java.util.Map;
import java.util.Queue;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.CopyOnWriteArrayList;

/** Records which requests ran at which upstreams, and how these answered. Thread-safe. */
public final class RunLedger {
    /**
     * A run of a request: the relay of the upstream, the upstream's incarnation, and the start
     * time.
     */
    public record Run(int relay, String upstream, long at) {}

    /**
     * A request that ran, as the upstream received it.
     *
     * @param at when it had been received, which a suspended upstream notices only later
     * @param tenant value of the header that names the tenant; empty without it
     * @param hasKey whether any part of it holds an API key
     */
    public record Arrival(
            String id, int relay, String upstream, long at, String tenant, boolean hasKey) {}

    private record Answer(String id, int status) {}

    private final Map<String, List<Run>> runs = new ConcurrentHashMap<>();
    private final Queue<Arrival> arrivals = new ConcurrentLinkedQueue<>();
    private final Map<String, Answer> answers = new ConcurrentHashMap<>();

    /** Records a run; must be called before its work begins. */
    public void record(String id, Run run) {
        runs.computeIfAbsent(id, unused -> new CopyOnWriteArrayList<>()).add(run);
    }

    /** Records what an upstream received for a run; must be called before its work begins. */
    public void recordArrival(Arrival arrival) {
        arrivals.add(arrival);
    }

    /** Returns what upstreams received for all runs. */
    public List<Arrival> arrivals() {
        return List.copyOf(arrivals);
    }

    /**
     * Records the answer of a run; must be called before the answer is sent.
     *
     * @param stamp unique among all runs
     */
    public void recordAnswer(String stamp, String id, int status) {
        answers.put(stamp, new Answer(id, status));
    }

    /** Returns whether a run of the request answered with this stamp and status. */
    public boolean hasAnswer(String stamp, String id, int status) {
        return new Answer(id, status).equals(answers.get(stamp));
    }

    /** Returns the runs of a request. */
    public List<Run> runs(String id) {
        return runs.getOrDefault(id, List.of());
    }

    /** Returns the runs of all requests. */
    public List<Run> all() {
        return runs.values().stream().flatMap(List::stream).toList();
    }
}
