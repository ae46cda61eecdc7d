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
 * Entries, targets and a network that loses, repeats and reorders messages, stepped at random.
 *
 * <p>Invariants checked at each step: a non-idempotent request (or key) runs at most once; what was
 * told "not run" has not run and never does; a caller gets one outcome, and only its own answer.
 * Every timeout may fire at any time, so the invariants depend on no timing. Not thread-safe.
 */
final class AtMostOnceSimulation {
    static final long DEADLINE_NANOSECONDS = 30;
    static final long SKEW_NANOSECONDS = 10;
    private static final int REQUESTS = 3;
    private static final int STEPS = 300;
    private static final int STEPS_AFTER_THE_END = 100;

    final Random random;
    final AtMostOnceScenario setup;
    final List<FakeTarget> targets = new ArrayList<>();
    long nowNanoseconds;
    private final List<FakeEntry> entries = new ArrayList<>();
    private final List<Runnable> network = new ArrayList<>();
    private final Map<Object, Integer> runs = new HashMap<>();
    private final Set<RequestId> toldNotRun = new HashSet<>();
    private final Set<RequestId> told = new HashSet<>();

    AtMostOnceSimulation(long seed, AtMostOnceScenario setup) {
        this.random = new Random(seed);
        this.setup = setup;
        for (int i = 0; i < setup.targets(); i++) {
            targets.add(new FakeTarget(this, new NodeId("target-" + i)));
        }
        for (int i = 1; i <= REQUESTS; i++) {
            RequestId id = new RequestId(new NodeId("entry"), new Incarnation(1), i);
            entries.add(new FakeEntry(this, id));
        }
    }

    /** Runs the world to its end. Throws {@link BrokenInvariant}. */
    void run() {
        for (int i = 0; i < STEPS; i++) {
            step();
        }
        for (FakeEntry entry : entries) {
            entry.endAtDeadline();
            check(told.contains(entry.id), "ended", entry.id);
        }
        for (int i = 0; i < STEPS_AFTER_THE_END; i++) {
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
        int fate = random.nextInt(10);
        Runnable message = fate == 0 ? network.get(index) : network.remove(index);
        if (fate != 1) {
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
        return new CallKey(id, setup.sharedKey() ? Optional.of(key) : Optional.empty());
    }

    /** What must run at most once: the request, or the key that it shares with others. */
    private Object executionKey(RequestId id) {
        return setup.sharedKey() ? "shared key" : id;
    }

    void recordRun(RequestId id) {
        int count = runs.merge(executionKey(id), 1, Integer::sum);
        check(count == 1 || !setup.nonIdempotent(), "runs at most once", id);
        check(!toldNotRun.contains(id), "never runs after 'not run' was told", id);
    }

    void recordNotRun(RequestId id) {
        recordOutcome(id);
        toldNotRun.add(id);
        check(runs.getOrDefault(id, 0) == 0, "told 'not run' only when it has not run", id);
    }

    void recordAnswer(RequestId id, String answer) {
        recordOutcome(id);
        check(answer.equals(answerOf(id)), "gets its own answer", id);
        check(runs.containsKey(executionKey(id)), "answered only when it ran", id);
    }

    void recordOutcome(RequestId id) {
        check(told.add(id), "gets one outcome", id);
    }

    String answerOf(RequestId id) {
        return "answer of " + executionKey(id);
    }

    private static void check(boolean holds, String invariant, RequestId id) {
        if (!holds) {
            throw new BrokenInvariant(invariant, id);
        }
    }

    /** An invariant of the protocol does not hold. */
    static final class BrokenInvariant extends RuntimeException {
        private static final long serialVersionUID = 1;

        BrokenInvariant(String invariant, RequestId id) {
            super(invariant + ", request " + id);
        }
    }
}
