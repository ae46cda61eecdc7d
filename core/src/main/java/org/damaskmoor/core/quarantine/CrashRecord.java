package org.damaskmoor.core.quarantine;

import org.damaskmoor.core.id.Incarnation;
import org.damaskmoor.core.id.NodeId;
import org.damaskmoor.schema.gossip.QuarantineRecord;

/**
 * A request was in flight when an upstream crashed. Immutable and thread-safe.
 *
 * @param fingerprint the request
 * @param node the node beside the upstream
 * @param incarnation the incarnation of that node
 * @param remainingSeconds how long this still counts
 */
public record CrashRecord(
        RequestFingerprint fingerprint,
        NodeId node,
        Incarnation incarnation,
        int remainingSeconds) {

    /** The record that a gossip message carries. */
    public static CrashRecord of(QuarantineRecord message) {
        return new CrashRecord(
                new RequestFingerprint(message.getFingerprint()),
                new NodeId(message.getNodeId()),
                new Incarnation(message.getIncarnation()),
                message.getRemainingSeconds());
    }

    /** The record as a gossip message carries it. */
    public QuarantineRecord toMessage() {
        return QuarantineRecord.newBuilder()
                .setFingerprint(fingerprint.value())
                .setNodeId(node.value())
                .setIncarnation(incarnation.value())
                .setRemainingSeconds(remainingSeconds)
                .build();
    }

    /** The same record with less time left. */
    public CrashRecord withRemainingSeconds(int seconds) {
        return new CrashRecord(fingerprint, node, incarnation, seconds);
    }
}
