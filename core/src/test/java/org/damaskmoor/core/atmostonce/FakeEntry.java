package org.damaskmoor.core.atmostonce;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.damaskmoor.core.id.Incarnation;
import org.damaskmoor.core.id.RequestId;
import org.damaskmoor.core.id.TargetId;
import org.damaskmoor.schema.mesh.RefusalReason;

/** A simulated entry node with one request. Not thread-safe. */
final class FakeEntry {
    private static final int MAXIMUM_ATTEMPTS = 4;

    final RequestId id;
    final EntryCall call;
    private final AtMostOnceSimulation simulation;
    private final Map<AttemptId, String> answers = new HashMap<>();
    private AttemptId pendingSend;
    private AttemptId lastAttempt;
    private final boolean paused;
    private boolean started;

    FakeEntry(AtMostOnceSimulation simulation, RequestId id) {
        this.simulation = simulation;
        this.id = id;
        this.paused = simulation.random.nextInt(3) == 0;
        this.call =
                simulation
                        .scenario
                        .calls()
                        .apply(EntryCall.of(id, simulation.scenario.nonIdempotent()));
    }

    void step() {
        if (!started) {
            started = true;
            perform(call.begin());
        } else if (pendingSend != null && simulation.random.nextInt(3) > 0) {
            send();
        } else {
            checkDeadline();
            fireRandomEvent();
        }
    }

    private void send() {
        AttemptId attempt = pendingSend;
        pendingSend = null;
        if (attempt.attempt() > MAXIMUM_ATTEMPTS) {
            perform(call.noTarget(attempt, RefusalReason.RETRY_BUDGET_EMPTY));
            return;
        }
        FakeTarget target =
                simulation.targets.get(simulation.random.nextInt(simulation.targets.size()));
        Incarnation incarnation = target.knownIncarnation();
        lastAttempt = attempt;
        if (!call.sent(attempt, new TargetId(target.node, incarnation))) {
            return;
        }
        if (simulation.random.nextInt(10) == 0) {
            perform(call.notSent(attempt, RefusalReason.TARGET_UNREACHABLE));
            return;
        }
        simulation.send(() -> target.onCall(attempt, incarnation));
    }

    private void fireRandomEvent() {
        if (lastAttempt == null) {
            return;
        }
        switch (simulation.random.nextInt(8)) {
            case 0 -> perform(call.acceptanceTimeout(lastAttempt));
            case 1 -> perform(call.connectionLost(lastAttempt));
            case 2 -> perform(call.sealTimeout(lastAttempt));
            case 3 -> perform(call.hedge());
            case 4 -> simulation.nowNanoseconds++;
            default -> {}
        }
    }

    /** Ends the request at its deadline, unless this node is paused. */
    private void checkDeadline() {
        boolean passed = simulation.nowNanoseconds >= AtMostOnceSimulation.DEADLINE_NANOSECONDS;
        if (passed && !paused) {
            perform(call.deadline());
        }
    }

    void endAtDeadline() {
        perform(call.deadline());
    }

    void onAnswer(AttemptId attempt, String answer) {
        answers.put(attempt, answer);
        perform(call.answered(attempt));
    }

    void perform(List<EntryAction> actions) {
        for (EntryAction action : actions) {
            perform(action);
        }
    }

    private void perform(EntryAction action) {
        if (action instanceof EntryAction.Send send) {
            pendingSend = send.attempt();
        } else if (action instanceof EntryAction.Seal seal) {
            simulation.send(() -> target(seal.target()).onSeal(seal.attempt(), seal.target()));
        } else if (action instanceof EntryAction.Cancel cancel) {
            simulation.send(() -> target(cancel.target()).onCancel(cancel.attempt()));
        } else if (action instanceof EntryAction.AnswerCaller answer) {
            simulation.recordAnswer(id, answers.get(answer.attempt()));
        } else if (action instanceof EntryAction.RefuseCaller) {
            simulation.recordNotRun(id);
        } else if (action instanceof EntryAction.UnknownToCaller) {
            simulation.recordOutcome(id);
        }
    }

    private FakeTarget target(TargetId target) {
        return simulation.targets.stream()
                .filter(known -> known.node.equals(target.node()))
                .findFirst()
                .orElseThrow();
    }
}
