package org.damaskmoor.soak.promise;

import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;

/** Which requests ran at which upstreams. Thread-safe. */
public final class RunLedger {
    /** One run: the relay beside the upstream, the upstream's incarnation, and its beginning. */
    public record Run(int relay, String upstream, long at) {}

    private final Map<String, List<Run>> runs = new ConcurrentHashMap<>();

    /** Notes a run before its work begins. */
    public void ran(String id, Run run) {
        runs.computeIfAbsent(id, unused -> new CopyOnWriteArrayList<>()).add(run);
    }

    /** The runs of a request. */
    public List<Run> runs(String id) {
        return runs.getOrDefault(id, List.of());
    }

    /** All runs. */
    public List<Run> all() {
        return runs.values().stream().flatMap(List::stream).toList();
    }
}
