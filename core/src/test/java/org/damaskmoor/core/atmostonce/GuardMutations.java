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

/** The protocol with one guard taken away each; the invariants must catch every one of them. */
final class GuardMutations {
    private GuardMutations() {}

    /** Returns the broken protocols by the fault that each has. */
    static Map<String, AtMostOnceScenario> all() {
        Map<String, AtMostOnceScenario> all = new LinkedHashMap<>();
        all.put(
                "runs a duplicate",
                ledger("accept", GuardMutations::acceptAgain, "handOver", always()));
        all.put("seals after hand over", ledger("seal", GuardMutations::alwaysSealed));
        all.put("leaves no tombstone", ledger("seal", GuardMutations::sealKnownOnly));
        all.put("hands over what was sealed", ledger("handOver", always()));
        all.put(
                "drops tombstones early",
                ledger("expire", (kept, name, values) -> expireAll(kept)));
        all.put(
                "takes calls of a former incarnation",
                ledger("accept", GuardMutations::acceptAnyIncarnation));
        all.put(
                "vouches for a former incarnation",
                ledger("seal", GuardMutations::sealAnyIncarnation));
        all.put("vouches for what it dropped", ledger("seal", GuardMutations::sealWithoutTime));
        all.put("runs a resend", resends("accept", GuardMutations::acceptWithoutKey));
        all.put(
                "takes a failure for not run",
                resends("failed", GuardMutations::refuseAfterFailure));
        all.put("retries without seal", call("acceptanceTimeout", GuardMutations::asNotSent));
        all.put("trusts a stale refusal", call("refused", GuardMutations::asNotSent));
        all.put("trusts silence", call("sealTimeout", GuardMutations::asNotSent));
        all.put("refuses at the deadline", call("deadline", GuardMutations::refuseUnlessFinished));
        all.put(
                "writes after the end",
                call(
                        "sent",
                        (kept, name, values) -> {
                            kept.call(name, values);
                            return true;
                        }));
        all.put("retries a failed call", call("failed", GuardMutations::asNotSent));
        return all;
    }

    /** Replaces a method of a state machine. */
    private interface Replacement {
        Object call(Kept kept, String name, Object[] values);
    }

    /** The correct state machine beneath. */
    private record Kept(Object machine) {
        Object call(String name, Object... values) {
            try {
                Method method = method(machine, name);
                return method.invoke(machine, values);
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
                .withLedgers(broken(TargetLedger.class, Map.of(method, replacement)));
    }

    private static AtMostOnceScenario ledger(
            String first, Replacement firstBroken, String second, Replacement secondBroken) {
        return AtMostOnceScenario.nonIdempotentRequests()
                .withLedgers(
                        broken(
                                TargetLedger.class,
                                Map.of(first, firstBroken, second, secondBroken)));
    }

    private static AtMostOnceScenario resends(String method, Replacement replacement) {
        return AtMostOnceScenario.resends()
                .withLedgers(broken(TargetLedger.class, Map.of(method, replacement)));
    }

    private static AtMostOnceScenario call(String method, Replacement replacement) {
        return AtMostOnceScenario.nonIdempotentRequests()
                .withCalls(broken(EntryCall.class, Map.of(method, replacement)));
    }

    private static <T> UnaryOperator<T> broken(Class<T> type, Map<String, Replacement> methods) {
        return machine -> {
            Kept kept = new Kept(machine);
            return type.cast(
                    Proxy.newProxyInstance(
                            type.getClassLoader(),
                            new Class<?>[] {type},
                            (proxy, method, values) ->
                                    methods.getOrDefault(method.getName(), Kept::call)
                                            .call(kept, method.getName(), values)));
        };
    }

    private static Replacement always() {
        return (kept, name, values) -> {
            kept.call(name, values);
            return HandOverResult.RUN;
        };
    }

    private static Object acceptAgain(Kept kept, String name, Object[] values) {
        Acceptance acceptance = (Acceptance) kept.call(name, values);
        if (acceptance.result() != AcceptanceResult.DUPLICATE) {
            return acceptance;
        }
        return new Acceptance(
                AcceptanceResult.ACCEPTED, acceptance.run(), CallState.QUEUED, Optional.empty());
    }

    private static Object alwaysSealed(Kept kept, String name, Object[] values) {
        SealState state = (SealState) kept.call(name, values);
        return state == SealState.HANDED_OVER ? SealState.SEALED : state;
    }

    private static Object sealKnownOnly(Kept kept, String name, Object[] values) {
        Optional<?> known = (Optional<?>) kept.call("state", values[0]);
        return known.isPresent() ? kept.call(name, values) : SealState.SEALED;
    }

    private static Object expireAll(Kept kept) {
        return kept.call("expire", AtMostOnceSimulation.DEADLINE_NANOSECONDS * 1_000);
    }

    private static Object acceptAnyIncarnation(Kept kept, String name, Object[] values) {
        for (int incarnation = 1; ; incarnation++) {
            values[1] = new Incarnation(incarnation);
            Acceptance acceptance = (Acceptance) kept.call(name, values);
            if (acceptance.result() != AcceptanceResult.WRONG_INCARNATION) {
                return acceptance;
            }
        }
    }

    private static Object sealAnyIncarnation(Kept kept, String name, Object[] values) {
        SealState state = (SealState) kept.call(name, values);
        return state == SealState.OTHER_INCARNATION ? SealState.SEALED : state;
    }

    private static Object sealWithoutTime(Kept kept, String name, Object[] values) {
        values[3] = Long.MIN_VALUE;
        return kept.call(name, values);
    }

    private static Object acceptWithoutKey(Kept kept, String name, Object[] values) {
        values[0] = CallKey.of(((CallKey) values[0]).id());
        return kept.call(name, values);
    }

    private static Object refuseAfterFailure(Kept kept, String name, Object[] values) {
        kept.call("returned", values);
        return kept.call("refuse", values);
    }

    private static Object asNotSent(Kept kept, String name, Object[] values) {
        return kept.call("notSent", values[0], RefusalReason.NODE_BUSY);
    }

    private static Object refuseUnlessFinished(Kept kept, String name, Object[] values) {
        boolean finished = (boolean) kept.call("isFinished");
        kept.call(name, values);
        return finished
                ? List.of()
                : List.of(new EntryAction.RefuseCaller(RefusalReason.DEADLINE_PASSED));
    }
}
