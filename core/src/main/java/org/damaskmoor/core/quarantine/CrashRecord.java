package org.damaskmoor.core.quarantine;

import org.damaskmoor.core.id.Incarnation;
import org.damaskmoor.core.id.NodeId;
import org.damaskmoor.schema.gossip.QuarantineRecord;

/**
 * Records that a request was in flight when an upstream crashed. Immutable and thread-safe.
 *
 * @param fingerprint fingerprint of the request
 * @param node the node of the crashed upstream
 * @param incarnation incarnation of that node
 * @param remainingSeconds time until the record expires
 */
public record CrashRecord(
        RequestFingerprint fingerprint,
        NodeId node,
        Incarnation incarnation,
        int remainingSeconds) {

    /** Converts a record from a gossip message. */
    public static CrashRecord of(QuarantineRecord message) {
        return new CrashRecord(
                new RequestFingerprint(message.getFingerprint()),
                new NodeId(message.getNodeId()),
                new Incarnation(message.getIncarnation()),
                message.getRemainingSeconds());
    }

    /** Converts the record for a gossip message. */
    public QuarantineRecord toMessage() {
        return QuarantineRecord.newBuilder()
                .setFingerprint(fingerprint.value())
                .setNodeId(node.value())
                .setIncarnation(incarnation.value())
                .setRemainingSeconds(remainingSeconds)
                .build();
    }

    /** Returns a copy with the given remaining time. */
    public CrashRecord withRemainingSeconds(int seconds) {
        return new CrashRecord(fingerprint, node, incarnation, seconds);
    }
}
