package org.damaskmoor.bench.load;

import com.google.protobuf.ByteString;
import io.activej.http.HttpResponse;
import org.damaskmoor.bench.http.Fields;
import org.damaskmoor.bench.http.JsonObject;
import org.damaskmoor.bench.upstream.EchoBody;

/** Tells from an answer what became of a request. Stateless and safe for all threads. */
final class AnswerReader {
    /** What an answer says. */
    record Reading(Outcome outcome, String reason, String refusalId, boolean crossed) {}

    private AnswerReader() {}

    static Reading read(PlannedCall call, HttpResponse response, ByteString body) {
        String outcome = response.getHeader(Fields.OUTCOME);
        if (outcome == null) {
            boolean own = body.equals(EchoBody.of(call.nonce(), call.path()));
            return new Reading(Outcome.ANSWERED, "status-" + response.getCode(), "", !own);
        }
        JsonObject problem = problem(body);
        String reason = problem.text("reason", problem.text("step", "not-given"));
        return new Reading(
                outcome.equals(Fields.NOT_RUN) ? Outcome.REFUSED : Outcome.UNKNOWN,
                reason,
                problem.text("refusal_id", ""),
                false);
    }

    private static JsonObject problem(ByteString body) {
        try {
            return JsonObject.parse(body.toStringUtf8());
        } catch (IllegalArgumentException e) {
            return new JsonObject();
        }
    }
}
