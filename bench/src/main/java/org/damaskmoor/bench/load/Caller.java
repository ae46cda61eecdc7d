package org.damaskmoor.bench.load;

import com.google.protobuf.ByteString;
import io.activej.bytebuf.ByteBuf;
import io.activej.http.HttpClient;
import io.activej.http.HttpRequest;
import io.activej.http.HttpResponse;
import io.activej.reactor.nio.NioReactor;
import java.net.URI;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.damaskmoor.bench.http.HttpFields;
import org.damaskmoor.bench.load.AnswerClassifier.Classification;
import org.damaskmoor.bench.upstream.UpstreamServlet;

/**
 * Sends planned requests, resends some with the same key when their outcome is unknown, and records
 * each send in the callers' ledger.
 *
 * <p>Invariant: each send yields exactly one record. Not thread safe: confined to one event loop.
 */
final class Caller {
    static final long ANSWER_TIMEOUT_MILLISECONDS = 3000;
    private static final long RESEND_AFTER_MILLISECONDS = 300;
    private static final int MAXIMUM_ATTEMPTS = 3;

    private final NioReactor reactor;
    private final HttpClient client;
    private final EndpointSelector entries;
    private final EndpointSelector upstreams;
    private final Consumer<CallRecord> ledger;
    private final Runnable finished;

    Caller(
            NioReactor reactor,
            HttpClient client,
            EndpointSelector entries,
            EndpointSelector upstreams,
            Consumer<CallRecord> ledger,
            Runnable finished) {
        this.reactor = reactor;
        this.client = client;
        this.entries = entries;
        this.upstreams = upstreams;
        this.ledger = ledger;
        this.finished = finished;
    }

    /** Sends the request; the latency is measured from the given time. */
    void send(PlannedCall call, int attempt, long dueNanoseconds) {
        EndpointSelector from = call.direct() ? upstreams : entries;
        URI entry = from.choose(call.entry() + attempt, System.nanoTime());
        client.request(request(call, attempt, entry))
                .then(response -> response.loadBody().map(body -> read(call, response, body)))
                .whenResult(
                        classification ->
                                record(call, attempt, dueNanoseconds, entry, classification))
                .whenException(
                        cause -> record(call, attempt, dueNanoseconds, entry, failure(cause)));
    }

    private static HttpRequest request(PlannedCall call, int attempt, URI entry) {
        String url = entry + call.path();
        HttpRequest.Builder request =
                call.booking()
                        ? HttpRequest.post(url).withBody("{\"booking\":\"" + call.nonce() + "\"}")
                        : HttpRequest.get(url);
        if (call.booking()) {
            request.withHeader(HttpFields.IDEMPOTENCY_KEY, call.key());
        }
        return request.withHeader(HttpFields.NONCE, call.nonce())
                .withHeader(UpstreamServlet.ATTEMPT, String.valueOf(attempt))
                .withHeader(HttpFields.CALLER, call.caller())
                .withHeader(
                        HttpFields.DEADLINE_MILLISECONDS,
                        String.valueOf(ANSWER_TIMEOUT_MILLISECONDS))
                .build();
    }

    private static Classification read(PlannedCall call, HttpResponse response, ByteBuf body) {
        return AnswerClassifier.read(call, response, ByteString.copyFrom(body.getArray()));
    }

    private static Classification failure(Exception cause) {
        return new Classification(
                Outcome.TRANSPORT_ERROR, cause.getClass().getSimpleName(), "", false);
    }

    private void record(
            PlannedCall call,
            int attempt,
            long dueNanoseconds,
            URI entry,
            Classification classification) {
        long now = System.nanoTime();
        if (classification.outcome() == Outcome.TRANSPORT_ERROR
                || classification.reason().equals("draining")) {
            (call.direct() ? upstreams : entries).exclude(entry, now);
        }
        ledger.accept(
                new CallRecord(
                        call.caller(),
                        call.key(),
                        attempt,
                        call.booking(),
                        call.direct(),
                        classification.outcome(),
                        classification.reason(),
                        classification.refusalId(),
                        classification.crossed(),
                        entry.toString(),
                        now - dueNanoseconds));
        if (shouldResend(call, attempt, classification.outcome())) {
            reactor.delay(RESEND_AFTER_MILLISECONDS, () -> resend(call, attempt + 1));
        } else {
            finished.run();
        }
    }

    private void resend(PlannedCall call, int attempt) {
        send(call, attempt, System.nanoTime());
    }

    private static boolean shouldResend(PlannedCall call, int attempt, Outcome outcome) {
        boolean outcomeUnknown = outcome == Outcome.UNKNOWN || outcome == Outcome.TRANSPORT_ERROR;
        return call.resends() && outcomeUnknown && attempt < MAXIMUM_ATTEMPTS;
    }

    /** Returns the maximum duration of a request including all resends, in milliseconds. */
    static long maximumMilliseconds() {
        return TimeUnit.SECONDS.toMillis(1)
                + MAXIMUM_ATTEMPTS * (ANSWER_TIMEOUT_MILLISECONDS + RESEND_AFTER_MILLISECONDS);
    }
}
