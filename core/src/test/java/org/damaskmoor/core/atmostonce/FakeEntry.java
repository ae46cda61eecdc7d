package org.damaskmoor.core.atmostonce;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.damaskmoor.core.id.Incarnation;
import org.damaskmoor.core.id.RequestId;
import org.damaskmoor.core.id.TargetId;
import org.damaskmoor.schema.mesh.RefusalReason;

/** An entry node with one request, as a real node would drive it. Not thread-safe. */
final class FakeEntry {
    private static final int MAXIMUM_ATTEMPTS = 4;

    final RequestId id;
    final EntryCall call;
    private final AtMostOnceSimulation world;
    private final Map<AttemptId, String> answers = new HashMap<>();
    private AttemptId pendingSend;
    private AttemptId lastAttempt;
    private final boolean paused;
    private boolean begun;

    FakeEntry(AtMostOnceSimulation world, RequestId id) {
        this.world = world;
        this.id = id;
        this.paused = world.random.nextInt(3) == 0;
        this.call = world.setup.calls().apply(EntryCall.of(id, world.setup.nonIdempotent()));
    }

    void step() {
        if (!begun) {
            begun = true;
            perform(call.begin());
        } else if (pendingSend != null && world.random.nextInt(3) > 0) {
            send();
        } else {
            deadlineWhenDue();
            timeout();
        }
    }

    private void send() {
        AttemptId attempt = pendingSend;
        pendingSend = null;
        if (attempt.attempt() > MAXIMUM_ATTEMPTS) {
            perform(call.noTarget(attempt, RefusalReason.RETRY_BUDGET_EMPTY));
            return;
        }
        FakeTarget target = world.targets.get(world.random.nextInt(world.targets.size()));
        Incarnation incarnation = target.knownIncarnation();
        lastAttempt = attempt;
        if (!call.sent(attempt, new TargetId(target.node, incarnation))) {
            return;
        }
        if (world.random.nextInt(10) == 0) {
            perform(call.notSent(attempt, RefusalReason.TARGET_UNREACHABLE));
            return;
        }
        world.send(() -> target.onCall(attempt, incarnation));
    }

    private void timeout() {
        if (lastAttempt == null) {
            return;
        }
        switch (world.random.nextInt(8)) {
            case 0 -> perform(call.acceptanceTimeout(lastAttempt));
            case 1 -> perform(call.connectionLost(lastAttempt));
            case 2 -> perform(call.sealTimeout(lastAttempt));
            case 3 -> perform(call.hedge());
            case 4 -> world.nowNanoseconds++;
            default -> {}
        }
    }

    /** A paused entry does not notice its deadline. */
    private void deadlineWhenDue() {
        boolean due = world.nowNanoseconds >= AtMostOnceSimulation.DEADLINE_NANOSECONDS;
        if (due && !paused) {
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
            world.send(() -> target(seal.target()).onSeal(seal.attempt(), seal.target()));
        } else if (action instanceof EntryAction.Cancel cancel) {
            world.send(() -> target(cancel.target()).onCancel(cancel.attempt()));
        } else if (action instanceof EntryAction.AnswerCaller answer) {
            world.recordAnswer(id, answers.get(answer.attempt()));
        } else if (action instanceof EntryAction.RefuseCaller) {
            world.recordNotRun(id);
        } else if (action instanceof EntryAction.UnknownToCaller) {
            world.recordOutcome(id);
        }
    }

    private FakeTarget target(TargetId target) {
        return world.targets.stream()
                .filter(known -> known.node.equals(target.node()))
                .findFirst()
                .orElseThrow();
    }
}
