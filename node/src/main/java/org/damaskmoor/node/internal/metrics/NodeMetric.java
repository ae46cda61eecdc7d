package org.damaskmoor.node.internal.metrics;

/**
 * All metrics of a node with their names, types and descriptions. A test checks that the table in
 * docs/OPERATIONS.md matches.
 *
 * <p>Immutable and thread-safe.
 */
public enum NodeMetric {
    /** Requests that were answered. */
    ANSWERED("damaskmoor_requests_answered_total", Kind.COUNTER, "requests answered"),
    /** Requests that were reported to callers as "not run". */
    REFUSED("damaskmoor_requests_refused_total", Kind.COUNTER, "requests refused, by reason"),
    /** Requests that were reported to callers as "unknown". */
    UNKNOWN("damaskmoor_requests_unknown_total", Kind.COUNTER, "requests of unknown outcome"),
    /** Time from the arrival of a request to its answer. */
    REQUEST_SECONDS("damaskmoor_request_seconds", Kind.SUMMARY, "seconds from arrival to answer"),
    /** Requests that wait for their answer. */
    OPEN_REQUESTS("damaskmoor_open_requests", Kind.GAUGE, "requests that wait for their reply"),
    /** Calls that the upstream runs. */
    UPSTREAM_IN_FLIGHT("damaskmoor_upstream_in_flight", Kind.GAUGE, "calls the upstream runs"),
    /** Calls queued for the upstream. */
    UPSTREAM_QUEUED("damaskmoor_upstream_queued", Kind.GAUGE, "calls that wait for the upstream"),
    /** Adaptive concurrency limit of the upstream. */
    UPSTREAM_LIMIT("damaskmoor_upstream_limit", Kind.GAUGE, "most calls the upstream may run"),
    /** Known nodes. */
    MEMBERS("damaskmoor_members", Kind.GAUGE, "nodes known, by state"),
    /** Crash records that have not expired. */
    CRASHES("damaskmoor_crash_records", Kind.GAUGE, "crashes of upstreams that still count"),
    /** Gossip bytes sent. */
    GOSSIP_SENT("damaskmoor_gossip_sent_bytes_total", Kind.COUNTER, "bytes of gossip, by kind"),
    /** Bytes spent on measuring load. */
    MEASURING_BYTES(
            "damaskmoor_measuring_bytes_total",
            Kind.COUNTER,
            "bytes spent on measuring load, by kind"),
    /** Bytes spent on measuring load over the link between regions. */
    PAID_LINK_MEASURING_BYTES(
            "damaskmoor_paid_link_measuring_bytes_total",
            Kind.COUNTER,
            "bytes of these that went to another region, by kind"),
    /** Lost connections to other nodes. */
    LOST_LINKS("damaskmoor_links_lost_total", Kind.COUNTER, "connections to nodes that were lost"),
    /** Frames dropped because a queue was full. */
    DROPPED_FRAMES("damaskmoor_frames_dropped_total", Kind.COUNTER, "frames a full ring dropped");

    /** Metric types of the Prometheus text format. */
    public enum Kind {
        COUNTER,
        GAUGE,
        SUMMARY
    }

    private final String metricName;
    private final Kind kind;
    private final String description;

    NodeMetric(String metricName, Kind kind, String description) {
        this.metricName = metricName;
        this.kind = kind;
        this.description = description;
    }

    /** Returns the name without labels. */
    public String metricName() {
        return metricName;
    }

    /** Returns the name with one label, whose value is escaped. */
    public String withLabel(String label, String value) {
        String escaped = value.replace("\\", "\\\\").replace("\"", "\\\"").replace("\n", "\\n");
        return metricName + "{" + label + "=\"" + escaped + "\"}";
    }

    public Kind kind() {
        return kind;
    }

    /** Returns what the metric counts, and its unit. */
    public String description() {
        return description;
    }
}
