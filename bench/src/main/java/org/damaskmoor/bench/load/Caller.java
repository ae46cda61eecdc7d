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
import org.damaskmoor.bench.http.Fields;
import org.damaskmoor.bench.load.AnswerReader.Reading;
import org.damaskmoor.bench.upstream.UpstreamServlet;

/**
 * Sends planned requests, sends some again with the same key when their outcome is unknown, and
 * writes each send into the callers' ledger.
 *
 * <p>Invariant: each send gives exactly one record. Not thread safe: one event loop owns it.
 */
final class Caller {
    static final long PATIENCE_MILLISECONDS = 3000;
    private static final long RESEND_AFTER_MILLISECONDS = 300;
    private static final int MOST_ATTEMPTS = 3;

    private final NioReactor reactor;
    private final HttpClient client;
    private final Entries entries;
    private final Entries upstreams;
    private final Consumer<CallRecord> ledger;
    private final Runnable finished;

    Caller(
            NioReactor reactor,
            HttpClient client,
            Entries entries,
            Entries upstreams,
            Consumer<CallRecord> ledger,
            Runnable finished) {
        this.reactor = reactor;
        this.client = client;
        this.entries = entries;
        this.upstreams = upstreams;
        this.ledger = ledger;
        this.finished = finished;
    }

    /** Sends the request; the latency counts from the given time. */
    void send(PlannedCall call, int attempt, long dueNanoseconds) {
        Entries from = call.direct() ? upstreams : entries;
        URI entry = from.choose(call.entry() + attempt, System.nanoTime());
        client.request(request(call, attempt, entry))
                .then(response -> response.loadBody().map(body -> read(call, response, body)))
                .whenResult(reading -> record(call, attempt, dueNanoseconds, entry, reading))
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
            request.withHeader(Fields.IDEMPOTENCY_KEY, call.key());
        }
        return request.withHeader(Fields.NONCE, call.nonce())
                .withHeader(UpstreamServlet.ATTEMPT, String.valueOf(attempt))
                .withHeader(Fields.CALLER, call.caller())
                .withHeader(Fields.DEADLINE_MILLISECONDS, String.valueOf(PATIENCE_MILLISECONDS))
                .build();
    }

    private static Reading read(PlannedCall call, HttpResponse response, ByteBuf body) {
        return AnswerReader.read(call, response, ByteString.copyFrom(body.getArray()));
    }

    private static Reading failure(Exception cause) {
        return new Reading(Outcome.TRANSPORT_ERROR, cause.getClass().getSimpleName(), "", false);
    }

    private void record(
            PlannedCall call, int attempt, long dueNanoseconds, URI entry, Reading reading) {
        long now = System.nanoTime();
        if (reading.outcome() == Outcome.TRANSPORT_ERROR || reading.reason().equals("draining")) {
            (call.direct() ? upstreams : entries).avoid(entry, now);
        }
        ledger.accept(
                new CallRecord(
                        call.caller(),
                        call.key(),
                        attempt,
                        call.booking(),
                        call.direct(),
                        reading.outcome(),
                        reading.reason(),
                        reading.refusalId(),
                        reading.crossed(),
                        entry.toString(),
                        now - dueNanoseconds));
        if (resends(call, attempt, reading.outcome())) {
            reactor.delay(RESEND_AFTER_MILLISECONDS, () -> resend(call, attempt + 1));
        } else {
            finished.run();
        }
    }

    private void resend(PlannedCall call, int attempt) {
        send(call, attempt, System.nanoTime());
    }

    private static boolean resends(PlannedCall call, int attempt, Outcome outcome) {
        boolean unclear = outcome == Outcome.UNKNOWN || outcome == Outcome.TRANSPORT_ERROR;
        return call.resends() && unclear && attempt < MOST_ATTEMPTS;
    }

    /** Returns the longest time that a request with all its resends may take, in milliseconds. */
    static long longestMilliseconds() {
        return TimeUnit.SECONDS.toMillis(1)
                + MOST_ATTEMPTS * (PATIENCE_MILLISECONDS + RESEND_AFTER_MILLISECONDS);
    }
}
