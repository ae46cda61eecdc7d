package org.damaskmoor.spec;

import com.google.protobuf.ByteString;
import java.util.function.Supplier;
import org.damaskmoor.core.atmostonce.CallKey;
import org.damaskmoor.core.atmostonce.LedgerLimits;
import org.damaskmoor.core.atmostonce.TargetLedger;
import org.damaskmoor.core.id.Incarnation;
import org.damaskmoor.core.id.NodeId;
import org.damaskmoor.core.id.RequestId;

/**
 * Applies the operations of the transition table to one request in a real ledger. Not thread-safe.
 *
 * <p>A second request fills the ledger for the operations that require a full ledger.
 */
final class LedgerModelDriver {
    private static final long IN_TIME = 0;
    private static final long DEADLINE = 100;
    private static final long KEEP_UNTIL = 200;
    private static final Incarnation OWN = new Incarnation(2);
    private static final Incarnation OTHER = new Incarnation(1);
    private static final RequestId ID = id("entry", 5);
    private static final RequestId FILLER = id("another entry", 9);

    private final TargetLedger ledger = TargetLedger.bounded(OWN, new LedgerLimits(1, 100, 10));

    private static RequestId id(String entry, long sequence) {
        return new RequestId(new NodeId(entry), new Incarnation(1), sequence);
    }

    /** Returns a ledger in which the request is in the given state. */
    static LedgerModelDriver in(String state) {
        LedgerModelDriver driver = new LedgerModelDriver();
        switch (state) {
            case "ABSENT" -> {}
            case "FENCED" -> driver.apply("acceptFull");
            case "QUEUED" -> driver.apply("accept");
            case "HANDED_OVER" -> driver.applyAll("accept", "handOver");
            case "ANSWERED" -> driver.applyAll("accept", "handOver", "answered");
            case "FAILED" -> driver.applyAll("accept", "handOver", "failed");
            case "SEALED" -> driver.apply("seal");
            case "REFUSED" -> driver.applyAll("accept", "refuse");
            default -> throw new IllegalArgumentException(state);
        }
        return driver;
    }

    private void applyAll(String... operations) {
        for (String operation : operations) {
            apply(operation);
        }
    }

    /** Applies an operation and returns its result under its name in the table. */
    String apply(String operation) {
        return switch (operation) {
            case "accept" -> accept(OWN, IN_TIME);
            case "acceptFull" -> whileFull(() -> accept(OWN, IN_TIME));
            case "acceptLate" -> accept(OWN, DEADLINE);
            case "acceptTooLate" -> accept(OWN, KEEP_UNTIL);
            case "acceptOther" -> accept(OTHER, IN_TIME);
            case "handOver" -> ledger.handOver(ID, IN_TIME).name();
            case "handOverLate" -> ledger.handOver(ID, DEADLINE).name();
            case "returned" -> done(ledger.returned(ID));
            case "refuse" -> done(ledger.refuse(ID));
            case "answered" -> done(ledger.answered(ID, ByteString.copyFromUtf8("answer")));
            case "failed" -> done(ledger.failed(ID));
            case "seal" -> seal(OWN, IN_TIME);
            case "sealFull" -> whileFull(() -> seal(OWN, IN_TIME));
            case "sealTooLate" -> seal(OWN, KEEP_UNTIL);
            case "sealOther" -> seal(OTHER, IN_TIME);
            case "cancel" -> ledger.cancel(ID).name();
            case "expire" -> expire();
            default -> throw new IllegalArgumentException(operation);
        };
    }

    private String accept(Incarnation incarnation, long now) {
        return ledger.accept(CallKey.of(ID), incarnation, DEADLINE, KEEP_UNTIL, now)
                .result()
                .name();
    }

    private String seal(Incarnation incarnation, long now) {
        return ledger.seal(ID, incarnation, KEEP_UNTIL, now).name();
    }

    private String expire() {
        ledger.expire(KEEP_UNTIL);
        return "NONE";
    }

    private static String done(boolean done) {
        return done ? "DONE" : "IGNORED";
    }

    private String whileFull(Supplier<String> operation) {
        ledger.accept(CallKey.of(FILLER), OWN, 1, 2, IN_TIME);
        String result = operation.get();
        ledger.refuse(FILLER);
        ledger.expire(2);
        return result;
    }

    /** Returns the state of the request; a fence is detected by the refusal of a call. */
    String state() {
        return ledger.state(ID).map(Enum::name).orElseGet(this::absentOrFenced);
    }

    private String absentOrFenced() {
        return accept(OWN, IN_TIME).equals("FULL") ? "FENCED" : "ABSENT";
    }
}
