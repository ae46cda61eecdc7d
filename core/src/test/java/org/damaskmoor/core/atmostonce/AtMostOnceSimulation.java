package org.damaskmoor.core.atmostonce;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import org.damaskmoor.core.id.CallerName;
import org.damaskmoor.core.id.Incarnation;
import org.damaskmoor.core.id.NodeId;
import org.damaskmoor.core.id.RequestId;
import org.damaskmoor.core.id.ServiceName;

/**
 * Randomly advances simulated entry nodes, targets and a network that loses, duplicates and
 * reorders messages.
 *
 * <p>Invariants checked at each step: a non-idempotent request (or key) runs at most once; a
 * request reported as "not run" has not run and never does; a caller receives one outcome, and only
 * the answer to its own request. Every timeout may fire at any time, so the invariants do not
 * depend on timing. Not thread-safe.
 */
final class AtMostOnceSimulation {
    static final long DEADLINE_NANOSECONDS = 30;
    static final long SKEW_NANOSECONDS = 10;
    private static final int REQUESTS = 3;
    private static final int STEPS = 300;
    private static final int STEPS_AFTER_DEADLINE = 100;

    final Random random;
    final AtMostOnceScenario scenario;
    final List<FakeTarget> targets = new ArrayList<>();
    long nowNanoseconds;
    private final List<FakeEntry> entries = new ArrayList<>();
    private final List<Runnable> network = new ArrayList<>();
    private final Map<Object, Integer> runs = new HashMap<>();
    private final Set<RequestId> reportedNotRun = new HashSet<>();
    private final Set<RequestId> reported = new HashSet<>();

    AtMostOnceSimulation(long seed, AtMostOnceScenario scenario) {
        this.random = new Random(seed);
        this.scenario = scenario;
        for (int i = 0; i < scenario.targets(); i++) {
            targets.add(new FakeTarget(this, new NodeId("target-" + i)));
        }
        for (int i = 1; i <= REQUESTS; i++) {
            RequestId id = new RequestId(new NodeId("entry"), new Incarnation(1), i);
            entries.add(new FakeEntry(this, id));
        }
    }

    /** Runs the simulation to completion. Throws {@link InvariantViolation}. */
    void run() {
        for (int i = 0; i < STEPS; i++) {
            step();
        }
        for (FakeEntry entry : entries) {
            entry.endAtDeadline();
            check(reported.contains(entry.id), "ended", entry.id);
        }
        for (int i = 0; i < STEPS_AFTER_DEADLINE; i++) {
            step();
        }
    }

    private void step() {
        int choice = random.nextInt(10);
        if (choice < 3) {
            entries.get(random.nextInt(entries.size())).step();
        } else if (choice < 6) {
            targets.get(random.nextInt(targets.size())).step();
        } else if (choice < 9) {
            deliver();
        } else {
            nowNanoseconds += random.nextInt(5);
        }
    }

    private void deliver() {
        if (network.isEmpty()) {
            return;
        }
        int index = random.nextInt(network.size());
        int fault = random.nextInt(10);
        Runnable message = fault == 0 ? network.get(index) : network.remove(index);
        if (fault != 1) {
            message.run();
        }
    }

    void send(Runnable delivery) {
        network.add(delivery);
    }

    FakeEntry entry(RequestId id) {
        return entries.stream().filter(entry -> entry.id.equals(id)).findFirst().orElseThrow();
    }

    CallKey callKey(RequestId id) {
        IdempotencyKey key =
                new IdempotencyKey(new ServiceName("besuch"), new CallerName("heim"), "turn");
        return new CallKey(id, scenario.sharedKey() ? Optional.of(key) : Optional.empty());
    }

    /** Returns what must run at most once: the request, or the key that it shares with others. */
    private Object executionKey(RequestId id) {
        return scenario.sharedKey() ? "shared key" : id;
    }

    void recordRun(RequestId id) {
        int count = runs.merge(executionKey(id), 1, Integer::sum);
        check(count == 1 || !scenario.nonIdempotent(), "runs at most once", id);
        check(!reportedNotRun.contains(id), "never runs after 'not run' was reported", id);
    }

    void recordNotRun(RequestId id) {
        recordOutcome(id);
        reportedNotRun.add(id);
        check(runs.getOrDefault(id, 0) == 0, "reported as 'not run' only when it has not run", id);
    }

    void recordAnswer(RequestId id, String answer) {
        recordOutcome(id);
        check(answer.equals(answerOf(id)), "receives its own answer", id);
        check(runs.containsKey(executionKey(id)), "answered only when it ran", id);
    }

    void recordOutcome(RequestId id) {
        check(reported.add(id), "receives one outcome", id);
    }

    String answerOf(RequestId id) {
        return "answer of " + executionKey(id);
    }

    private static void check(boolean holds, String invariant, RequestId id) {
        if (!holds) {
            throw new InvariantViolation(invariant, id);
        }
    }

    /** An invariant of the protocol was violated. */
    static final class InvariantViolation extends RuntimeException {
        private static final long serialVersionUID = 1;

        InvariantViolation(String invariant, RequestId id) {
            super(invariant + ", request " + id);
        }
    }
}
