package org.damaskmoor.soak.verification;

import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;

/** Records which requests ran at which upstreams. Thread-safe. */
public final class RunLedger {
    /**
     * A run of a request: the relay of the upstream, the upstream's incarnation, and the start
     * time.
     */
    public record Run(int relay, String upstream, long at) {}

    private final Map<String, List<Run>> runs = new ConcurrentHashMap<>();

    /** Records a run; must be called before its work begins. */
    public void record(String id, Run run) {
        runs.computeIfAbsent(id, unused -> new CopyOnWriteArrayList<>()).add(run);
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
