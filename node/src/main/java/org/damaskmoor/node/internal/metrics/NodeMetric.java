package org.damaskmoor.node.internal.metrics;

/**
 * Every metric of a node: the one place for names, units and meanings. The table in
 * docs/OPERATIONS.md is held to it by a test.
 *
 * <p>Immutable and thread-safe.
 */
public enum NodeMetric {
    /** Requests that callers got an answer to. */
    ANSWERED("damaskmoor_requests_answered_total", Kind.COUNTER, "requests answered"),
    /** Requests that callers were told "not run" of. */
    REFUSED("damaskmoor_requests_refused_total", Kind.COUNTER, "requests refused, by reason"),
    /** Requests that callers were told "unknown" of. */
    UNKNOWN("damaskmoor_requests_unknown_total", Kind.COUNTER, "requests of unknown outcome"),
    /** From arrival to answer. */
    REQUEST_SECONDS("damaskmoor_request_seconds", Kind.SUMMARY, "seconds from arrival to answer"),
    /** Callers that wait. */
    OPEN_REQUESTS("damaskmoor_open_requests", Kind.GAUGE, "requests that wait for their reply"),
    /** Load of the upstream. */
    UPSTREAM_IN_FLIGHT("damaskmoor_upstream_in_flight", Kind.GAUGE, "calls the upstream runs"),
    /** Queue beside the upstream. */
    UPSTREAM_QUEUED("damaskmoor_upstream_queued", Kind.GAUGE, "calls that wait for the upstream"),
    /** Adaptive limit. */
    UPSTREAM_LIMIT("damaskmoor_upstream_limit", Kind.GAUGE, "most calls the upstream may run"),
    /** Known members. */
    MEMBERS("damaskmoor_members", Kind.GAUGE, "nodes known, by state"),
    /** Known crashes. */
    CRASHES("damaskmoor_crash_records", Kind.GAUGE, "crashes of upstreams that still count"),
    /** Membership traffic. */
    GOSSIP_SENT("damaskmoor_gossip_sent_bytes_total", Kind.COUNTER, "bytes of gossip, by kind"),
    /** Cost of measuring load. */
    MEASURING_BYTES(
            "damaskmoor_measuring_bytes_total",
            Kind.COUNTER,
            "bytes spent on measuring load, by kind"),
    /** Cost of measuring load over the link between regions. */
    PAID_LINK_MEASURING_BYTES(
            "damaskmoor_paid_link_measuring_bytes_total",
            Kind.COUNTER,
            "bytes of these that went to another region, by kind"),
    /** Connections lost. */
    LOST_LINKS("damaskmoor_links_lost_total", Kind.COUNTER, "connections to nodes that were lost"),
    /** Frames dropped. */
    DROPPED_FRAMES("damaskmoor_frames_dropped_total", Kind.COUNTER, "frames a full ring dropped");

    /** The types of the Prometheus text format that are used. */
    public enum Kind {
        COUNTER,
        GAUGE,
        SUMMARY
    }

    private final String metricName;
    private final Kind kind;
    private final String meaning;

    NodeMetric(String metricName, Kind kind, String meaning) {
        this.metricName = metricName;
        this.kind = kind;
        this.meaning = meaning;
    }

    /** The name without labels. */
    public String metricName() {
        return metricName;
    }

    /** The name with one label, whose value is escaped. */
    public String withLabel(String label, String value) {
        String escaped = value.replace("\\", "\\\\").replace("\"", "\\\"").replace("\n", "\\n");
        return metricName + "{" + label + "=\"" + escaped + "\"}";
    }

    public Kind kind() {
        return kind;
    }

    /** What it counts, and its unit. */
    public String description() {
        return meaning;
    }
}
