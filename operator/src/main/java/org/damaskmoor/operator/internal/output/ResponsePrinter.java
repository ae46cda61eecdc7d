package org.damaskmoor.operator.internal.output;

import com.google.protobuf.InvalidProtocolBufferException;
import com.google.protobuf.MessageOrBuilder;
import com.google.protobuf.util.JsonFormat;
import java.io.PrintStream;
import java.time.Instant;
import java.util.List;
import java.util.Locale;
import org.damaskmoor.schema.configuration.VersionedConfiguration;
import org.damaskmoor.schema.operator.ApplyServiceResponse;
import org.damaskmoor.schema.operator.CandidateExplanation;
import org.damaskmoor.schema.operator.DrainNodeResponse;
import org.damaskmoor.schema.operator.ExplainResponse;
import org.damaskmoor.schema.operator.GetStatusResponse;
import org.damaskmoor.schema.operator.ListServicesResponse;
import org.damaskmoor.schema.operator.NodeStatus;

/**
 * Prints responses as human-readable text or as JSON of the schema's messages. Confined to one
 * thread.
 */
public final class ResponsePrinter {
    private final PrintStream stream;
    private final boolean json;

    public ResponsePrinter(PrintStream stream, boolean json) {
        this.stream = stream;
        this.json = json;
    }

    /** Prints an accepted change. */
    public void printChange(String done, ApplyServiceResponse response) {
        if (json) {
            printJson(response);
            return;
        }
        VersionedConfiguration newest = response.getAccepted();
        stream.println(
                done + " " + newest.getService().getName() + " version " + response.getVersion());
        if (newest.getVersion() != response.getVersion()) {
            stream.println("since then changed: " + describeChange(newest));
        }
    }

    /** Prints one service. */
    public void printService(VersionedConfiguration service) {
        if (json) {
            printJson(service);
        } else {
            stream.println(describeChange(service));
            printJson(service.getService());
        }
    }

    /** Prints all services. */
    public void printServices(ListServicesResponse services) {
        if (json) {
            printJson(services);
            return;
        }
        TextTable table = new TextTable("SERVICE", "VERSION", "CHANGED-BY", "CHANGED-AT", "RULES");
        for (VersionedConfiguration service : services.getConfigurationsList()) {
            table.addRow(
                    service.getService().getName(),
                    String.valueOf(service.getVersion()),
                    service.getChangedBy(),
                    time(service),
                    String.valueOf(service.getService().getRulesCount()));
        }
        stream.print(table);
    }

    /** Prints the status of all nodes. */
    public void printStatus(GetStatusResponse status) {
        if (json) {
            printJson(status);
            return;
        }
        String platform = status.getPlatformReachable() ? "reachable" : "NOT REACHABLE";
        stream.println("answered by " + status.getAnsweringNode() + "; platform " + platform);
        stream.print(nodes(status));
        TextTable versions = new TextTable("SERVICE", "VERSION");
        status.getVersionsList()
                .forEach(
                        held ->
                                versions.addRow(
                                        held.getService(), String.valueOf(held.getVersion())));
        stream.print(versions);
        List<String> behind =
                status.getNodesList().stream()
                        .filter(NodeStatus::getBehind)
                        .map(NodeStatus::getNodeId)
                        .toList();
        stream.println("behind: " + (behind.isEmpty() ? "none" : String.join(", ", behind)));
    }

    /** Prints that a node is being drained. */
    public void printDrain(String node, DrainNodeResponse response) {
        if (json) {
            printJson(response);
        } else {
            stream.println("draining " + node + ": " + response.getDetail());
        }
    }

    /** Prints how a request would be routed. */
    public void printExplanation(ExplainResponse explained) {
        if (json) {
            printJson(explained);
            return;
        }
        String rule = explained.getRule().isEmpty() ? "(none matches)" : explained.getRule();
        stream.println("rule: " + rule);
        stream.println("allowed: " + yesOrNo(explained.getAllowed()));
        stream.println("at most once: " + yesOrNo(explained.getNonIdempotent()));
        stream.println("decision: " + explained.getDecision());
        TextTable table = new TextTable("NODE", "DISTANCE", "COST-MS", "DETAIL");
        for (CandidateExplanation candidate : explained.getCandidatesList()) {
            table.addRow(
                    candidate.getNodeId(),
                    candidate.getDistance(),
                    String.format(Locale.ROOT, "%.2f", candidate.getCostMilliseconds()),
                    candidate.getDetail());
        }
        stream.print(table);
    }

    private static TextTable nodes(GetStatusResponse status) {
        TextTable table =
                new TextTable(
                        "NODE",
                        "REGION",
                        "DATA-CENTRE",
                        "SERVICE",
                        "MEMBER",
                        "UPSTREAM",
                        "CONFIGURATION",
                        "IN-FLIGHT",
                        "LIMIT");
        for (NodeStatus node : status.getNodesList()) {
            table.addRow(
                    node.getNodeId(),
                    node.getRegion(),
                    node.getDataCentre(),
                    node.getService(),
                    node.getMemberState(),
                    node.getUpstreamState(),
                    node.getConfiguration(),
                    node.getLoadKnown() ? String.valueOf(node.getInFlight()) : "-",
                    node.getLoadKnown() ? String.valueOf(node.getLimit()) : "-");
        }
        return table;
    }

    private static String describeChange(VersionedConfiguration service) {
        return "version "
                + service.getVersion()
                + " by "
                + service.getChangedBy()
                + " at "
                + time(service)
                + (service.getDeleted() ? ", deleted" : "");
    }

    private static String time(VersionedConfiguration service) {
        return Instant.ofEpochMilli(service.getChangedAtEpochMilliseconds()).toString();
    }

    private static String yesOrNo(boolean value) {
        return value ? "yes" : "no";
    }

    private void printJson(MessageOrBuilder message) {
        try {
            stream.println(JsonFormat.printer().preservingProtoFieldNames().print(message));
        } catch (InvalidProtocolBufferException impossible) {
            throw new IllegalStateException(impossible);
        }
    }
}
