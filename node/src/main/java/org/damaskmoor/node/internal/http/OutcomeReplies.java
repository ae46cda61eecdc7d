package org.damaskmoor.node.internal.http;

import static org.damaskmoor.node.internal.http.HeaderFields.field;

import com.google.gson.JsonObject;
import com.google.gson.JsonParser;
import com.google.protobuf.ByteString;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import org.damaskmoor.schema.mesh.HeaderField;
import org.damaskmoor.schema.mesh.RefusalReason;

/**
 * Builds the replies to requests that no upstream answered: problem details (RFC 9457) with the
 * outcome in a header field.
 *
 * <p>Stateless and thread-safe.
 */
public final class OutcomeReplies {
    /** Header with the outcome of a request that was not answered. */
    public static final String OUTCOME_FIELD = "Damaskmoor-Outcome";

    /** Outcome: the request did not run and never will. */
    public static final String NOT_RUN = "not-run";

    /** Outcome: the request may have run. */
    public static final String UNKNOWN = "unknown";

    /** Header that marks a refusal that a node further down the call chain has already retried. */
    public static final String REFUSED_BELOW_FIELD = "Damaskmoor-Refused-Below";

    private static final int BAD_REQUEST = 400;
    private static final int FORBIDDEN = 403;
    private static final int NOT_FOUND = 404;
    private static final int CONTENT_TOO_LARGE = 413;
    private static final int TOO_MANY_REQUESTS = 429;
    private static final int SERVICE_UNAVAILABLE = 503;
    private static final int GATEWAY_TIMEOUT = 504;
    private static final int MILLISECONDS_PER_SECOND = 1_000;

    private OutcomeReplies() {}

    /**
     * The reply to a request that did not run.
     *
     * @param reason the reason
     * @param detail explains the reason to a person
     * @param refusalId id of the refusal in the accounting
     * @param retryAfterMilliseconds earliest time for a retry
     */
    public static CallerReply notRun(
            RefusalReason reason, String detail, String refusalId, int retryAfterMilliseconds) {
        int status = status(reason);
        JsonObject problem = problem(status, "Refused before it ran", detail);
        problem.addProperty("reason", wireName(reason));
        problem.addProperty("refusal_id", refusalId);
        List<HeaderField> headers = headers(NOT_RUN);
        if (status == TOO_MANY_REQUESTS || status == SERVICE_UNAVAILABLE) {
            headers.add(field("Retry-After", retryAfterSeconds(retryAfterMilliseconds)));
            headers.add(field(REFUSED_BELOW_FIELD, "1"));
        }
        return reply(status, headers, problem);
    }

    /** The reply to a request that was handed over and got no complete answer. */
    public static CallerReply unknown(String step, String peer) {
        JsonObject problem =
                problem(
                        GATEWAY_TIMEOUT,
                        "Outcome unknown",
                        "The request was handed over and no whole answer came; it may have run."
                                + " Ask the service, or resend with the same Idempotency-Key.");
        problem.addProperty("step", step);
        problem.addProperty("peer", peer);
        return reply(GATEWAY_TIMEOUT, headers(UNKNOWN), problem);
    }

    /** The same problem with another status of the same class. */
    static CallerReply withStatus(CallerReply reply, int status) {
        JsonObject problem = JsonParser.parseString(reply.body().toStringUtf8()).getAsJsonObject();
        problem.addProperty("status", status);
        return reply(status, reply.headers(), problem);
    }

    /** A reason as callers see it, for example {@code queue-full}. */
    public static String wireName(RefusalReason reason) {
        return reason.name().toLowerCase(Locale.ROOT).replace('_', '-');
    }

    private static int status(RefusalReason reason) {
        return switch (reason) {
            case MALFORMED -> BAD_REQUEST;
            case NOT_ALLOWED -> FORBIDDEN;
            case UNKNOWN_SERVICE -> NOT_FOUND;
            case TOO_LARGE -> CONTENT_TOO_LARGE;
            case CALLER_OVER_SHARE, QUARANTINED -> TOO_MANY_REQUESTS;
            default -> SERVICE_UNAVAILABLE;
        };
    }

    private static String retryAfterSeconds(int milliseconds) {
        int roundedUp = (milliseconds + MILLISECONDS_PER_SECOND - 1) / MILLISECONDS_PER_SECOND;
        return Integer.toString(Math.max(1, roundedUp));
    }

    private static JsonObject problem(int status, String title, String detail) {
        JsonObject problem = new JsonObject();
        problem.addProperty("type", "about:blank");
        problem.addProperty("title", title);
        problem.addProperty("status", status);
        problem.addProperty("detail", detail);
        return problem;
    }

    private static List<HeaderField> headers(String outcome) {
        List<HeaderField> headers = new ArrayList<>();
        headers.add(field("Content-Type", "application/problem+json"));
        headers.add(field(OUTCOME_FIELD, outcome));
        return headers;
    }

    private static CallerReply reply(int status, List<HeaderField> headers, JsonObject problem) {
        return new CallerReply(status, headers, ByteString.copyFromUtf8(problem.toString()));
    }
}
