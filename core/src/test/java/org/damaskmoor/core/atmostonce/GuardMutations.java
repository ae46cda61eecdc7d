package org.damaskmoor.core.atmostonce;

import java.lang.reflect.InvocationTargetException;
import java.lang.reflect.Method;
import java.lang.reflect.Proxy;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.UnaryOperator;
import org.damaskmoor.core.id.Incarnation;
import org.damaskmoor.schema.mesh.RefusalReason;
import org.damaskmoor.schema.mesh.SealState;

/** Variants of the protocol, each without one guard; the simulation must detect every one. */
final class GuardMutations {
    private GuardMutations() {}

    /** Returns the scenarios by the fault that each contains. */
    static Map<String, AtMostOnceScenario> all() {
        Map<String, AtMostOnceScenario> all = new LinkedHashMap<>();
        all.put(
                "runs a duplicate",
                ledger("accept", GuardMutations::acceptAgain, "handOver", alwaysRun()));
        all.put(
                "confirms a seal after the hand-over",
                ledger("seal", GuardMutations::confirmSealAfterHandOver));
        all.put("leaves no tombstone", ledger("seal", GuardMutations::sealKnownOnly));
        all.put("hands over a sealed request", ledger("handOver", alwaysRun()));
        all.put(
                "removes tombstones early",
                ledger("expire", (delegate, name, arguments) -> expireAll(delegate)));
        all.put(
                "accepts calls for a previous incarnation",
                ledger("accept", GuardMutations::acceptAnyIncarnation));
        all.put(
                "confirms a seal for a previous incarnation",
                ledger("seal", GuardMutations::sealAnyIncarnation));
        all.put(
                "confirms a seal after the keep-until time",
                ledger("seal", GuardMutations::sealAtAnyTime));
        all.put("runs a resend", resends("accept", GuardMutations::acceptWithoutKey));
        all.put(
                "treats a failure as not run",
                resends("failed", GuardMutations::refuseAfterFailure));
        all.put(
                "retries without a seal",
                call("acceptanceTimeout", GuardMutations::treatAsNotSent));
        all.put(
                "treats a stale refusal as not run",
                call("refused", GuardMutations::treatAsNotSent));
        all.put(
                "treats a seal timeout as not run",
                call("sealTimeout", GuardMutations::treatAsNotSent));
        all.put(
                "always reports not run at the deadline",
                call("deadline", GuardMutations::refuseUnlessFinished));
        all.put(
                "writes a frame after the request has ended",
                call(
                        "sent",
                        (delegate, name, arguments) -> {
                            delegate.call(name, arguments);
                            return true;
                        }));
        all.put("retries a failed call", call("failed", GuardMutations::treatAsNotSent));
        return all;
    }

    /** Replaces a method of a state machine. */
    private interface Replacement {
        Object call(Delegate delegate, String name, Object[] arguments);
    }

    /** The unmodified state machine. */
    private record Delegate(Object machine) {
        Object call(String name, Object... arguments) {
            try {
                Method method = method(machine, name);
                return method.invoke(machine, arguments);
            } catch (IllegalAccessException | InvocationTargetException failure) {
                throw new LinkageError(name, failure);
            }
        }

        private static Method method(Object machine, String name) {
            for (Class<?> type : machine.getClass().getInterfaces()) {
                for (Method method : type.getMethods()) {
                    if (method.getName().equals(name)) {
                        return method;
                    }
                }
            }
            throw new IllegalArgumentException(name);
        }
    }

    private static AtMostOnceScenario ledger(String method, Replacement replacement) {
        return AtMostOnceScenario.nonIdempotentRequests()
                .withLedgers(mutating(TargetLedger.class, Map.of(method, replacement)));
    }

    private static AtMostOnceScenario ledger(
            String first,
            Replacement firstReplacement,
            String second,
            Replacement secondReplacement) {
        return AtMostOnceScenario.nonIdempotentRequests()
                .withLedgers(
                        mutating(
                                TargetLedger.class,
                                Map.of(first, firstReplacement, second, secondReplacement)));
    }

    private static AtMostOnceScenario resends(String method, Replacement replacement) {
        return AtMostOnceScenario.resends()
                .withLedgers(mutating(TargetLedger.class, Map.of(method, replacement)));
    }

    private static AtMostOnceScenario call(String method, Replacement replacement) {
        return AtMostOnceScenario.nonIdempotentRequests()
                .withCalls(mutating(EntryCall.class, Map.of(method, replacement)));
    }

    private static <T> UnaryOperator<T> mutating(Class<T> type, Map<String, Replacement> methods) {
        return machine -> {
            Delegate delegate = new Delegate(machine);
            return type.cast(
                    Proxy.newProxyInstance(
                            type.getClassLoader(),
                            new Class<?>[] {type},
                            (proxy, method, arguments) ->
                                    methods.getOrDefault(method.getName(), Delegate::call)
                                            .call(delegate, method.getName(), arguments)));
        };
    }

    private static Replacement alwaysRun() {
        return (delegate, name, arguments) -> {
            delegate.call(name, arguments);
            return HandOverResult.RUN;
        };
    }

    private static Object acceptAgain(Delegate delegate, String name, Object[] arguments) {
        Acceptance acceptance = (Acceptance) delegate.call(name, arguments);
        if (acceptance.result() != AcceptanceResult.DUPLICATE) {
            return acceptance;
        }
        return new Acceptance(
                AcceptanceResult.ACCEPTED, acceptance.run(), CallState.QUEUED, Optional.empty());
    }

    private static Object confirmSealAfterHandOver(
            Delegate delegate, String name, Object[] arguments) {
        SealState state = (SealState) delegate.call(name, arguments);
        return state == SealState.HANDED_OVER ? SealState.SEALED : state;
    }

    private static Object sealKnownOnly(Delegate delegate, String name, Object[] arguments) {
        Optional<?> known = (Optional<?>) delegate.call("state", arguments[0]);
        return known.isPresent() ? delegate.call(name, arguments) : SealState.SEALED;
    }

    private static Object expireAll(Delegate delegate) {
        return delegate.call("expire", AtMostOnceSimulation.DEADLINE_NANOSECONDS * 1_000);
    }

    private static Object acceptAnyIncarnation(Delegate delegate, String name, Object[] arguments) {
        for (int incarnation = 1; ; incarnation++) {
            arguments[1] = new Incarnation(incarnation);
            Acceptance acceptance = (Acceptance) delegate.call(name, arguments);
            if (acceptance.result() != AcceptanceResult.WRONG_INCARNATION) {
                return acceptance;
            }
        }
    }

    private static Object sealAnyIncarnation(Delegate delegate, String name, Object[] arguments) {
        SealState state = (SealState) delegate.call(name, arguments);
        return state == SealState.OTHER_INCARNATION ? SealState.SEALED : state;
    }

    private static Object sealAtAnyTime(Delegate delegate, String name, Object[] arguments) {
        arguments[3] = Long.MIN_VALUE;
        return delegate.call(name, arguments);
    }

    private static Object acceptWithoutKey(Delegate delegate, String name, Object[] arguments) {
        arguments[0] = CallKey.of(((CallKey) arguments[0]).id());
        return delegate.call(name, arguments);
    }

    private static Object refuseAfterFailure(Delegate delegate, String name, Object[] arguments) {
        delegate.call("returned", arguments);
        return delegate.call("refuse", arguments);
    }

    private static Object treatAsNotSent(Delegate delegate, String name, Object[] arguments) {
        return delegate.call("notSent", arguments[0], RefusalReason.NODE_BUSY);
    }

    private static Object refuseUnlessFinished(Delegate delegate, String name, Object[] arguments) {
        boolean finished = (boolean) delegate.call("isFinished");
        delegate.call(name, arguments);
        return finished
                ? List.of()
                : List.of(new EntryAction.RefuseCaller(RefusalReason.DEADLINE_PASSED));
    }
}
