package org.damaskmoor.bench.load;

import com.google.protobuf.ByteString;
import io.activej.http.HttpResponse;
import org.damaskmoor.bench.http.HttpFields;
import org.damaskmoor.bench.http.JsonObject;
import org.damaskmoor.bench.upstream.EchoBody;

/** Determines the outcome of a request from its answer. Stateless and thread safe. */
final class AnswerClassifier {
    /**
     * Length of the reported excerpt of a wrong answer, enough to include the nonce of its request.
     */
    private static final int EXCERPT_BYTES = 120;

    /** The outcome of one answer. */
    record Classification(Outcome outcome, String reason, String refusalId, boolean crossed) {}

    private AnswerClassifier() {}

    static Classification read(PlannedCall call, HttpResponse response, ByteString body) {
        String outcome = response.getHeader(HttpFields.OUTCOME);
        if (outcome == null) {
            ByteString expected = EchoBody.of(call.nonce(), call.path());
            boolean own = body.equals(expected);
            String status = "status-" + response.getCode();
            String description = own ? status : status + ", " + difference(expected, body);
            return new Classification(Outcome.ANSWERED, description, "", !own);
        }
        JsonObject problem = problem(body);
        String reason = problem.text("reason", problem.text("step", "not-given"));
        return new Classification(
                outcome.equals(HttpFields.NOT_RUN) ? Outcome.REFUSED : Outcome.UNKNOWN,
                reason,
                problem.text("refusal_id", ""),
                false);
    }

    /**
     * Describes the mismatch so that another request's answer can be told from a truncated or mixed
     * one.
     */
    private static String difference(ByteString expected, ByteString body) {
        int shown = Math.min(body.size(), EXCERPT_BYTES);
        return "expected %d bytes, got %d that begin with '%s'"
                .formatted(expected.size(), body.size(), body.substring(0, shown).toStringUtf8());
    }

    private static JsonObject problem(ByteString body) {
        try {
            return JsonObject.parse(body.toStringUtf8());
        } catch (IllegalArgumentException e) {
            return new JsonObject();
        }
    }
}
