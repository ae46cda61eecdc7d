package org.damaskmoor.bench.load;

import com.google.protobuf.ByteString;
import io.activej.http.HttpResponse;
import org.damaskmoor.bench.http.Fields;
import org.damaskmoor.bench.http.JsonObject;
import org.damaskmoor.bench.upstream.EchoBody;

/** Tells from an answer what became of a request. Stateless and safe for all threads. */
final class AnswerReader {
    /** Bytes of a wrong answer that are reported; they hold the nonce of its request. */
    private static final int SHOWN_BYTES = 120;

    /** What an answer says. */
    record Reading(Outcome outcome, String reason, String refusalId, boolean crossed) {}

    private AnswerReader() {}

    static Reading read(PlannedCall call, HttpResponse response, ByteString body) {
        String outcome = response.getHeader(Fields.OUTCOME);
        if (outcome == null) {
            ByteString expected = EchoBody.of(call.nonce(), call.path());
            boolean own = body.equals(expected);
            String status = "status-" + response.getCode();
            String seen = own ? status : status + ", " + difference(expected, body);
            return new Reading(Outcome.ANSWERED, seen, "", !own);
        }
        JsonObject problem = problem(body);
        String reason = problem.text("reason", problem.text("step", "not-given"));
        return new Reading(
                outcome.equals(Fields.NOT_RUN) ? Outcome.REFUSED : Outcome.UNKNOWN,
                reason,
                problem.text("refusal_id", ""),
                false);
    }

    /** What a reader needs to tell another request's answer from one that was cut or mixed. */
    private static String difference(ByteString expected, ByteString body) {
        int shown = Math.min(body.size(), SHOWN_BYTES);
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
