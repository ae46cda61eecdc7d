package org.damaskmoor.bench.upstream;

import static java.nio.charset.StandardCharsets.UTF_8;

import com.google.protobuf.ByteString;
import io.activej.http.AsyncServlet;
import io.activej.http.HttpHeader;
import io.activej.http.HttpHeaders;
import io.activej.http.HttpMethod;
import io.activej.http.HttpRequest;
import io.activej.http.HttpResponse;
import io.activej.promise.Promise;
import io.activej.promise.SettablePromise;
import io.activej.reactor.nio.NioReactor;
import java.util.Optional;
import org.damaskmoor.bench.http.HttpFields;
import org.damaskmoor.bench.http.JsonObject;
import org.damaskmoor.bench.http.Reply;

/**
 * An upstream stand-in: runs requests in its slots, answers with {@link EchoBody}, and serves the
 * ledger of its runs at {@code GET /stand-in/ledger}. {@code POST /stand-in/faults} changes the
 * injected faults.
 *
 * <p>Invariants: a run is in the ledger before its work starts; a request whose deadline passed or
 * whose connection closed while it was queued is not run. Not thread safe: confined to one event
 * loop.
 */
public final class UpstreamServlet implements AsyncServlet {
    /**
     * Number of a send among the caller's sends of one request; forwarded unchanged by the nodes.
     */
    public static final HttpHeader ATTEMPT = HttpHeaders.of("Attempt");

    private final NioReactor reactor;
    private final Slots slots;
    private final ServiceTimes times;
    private final UpstreamFaults faults;
    private final Runnable crash;
    private final RunLedger ledger;
    private long served;
    private long busyNanoseconds;

    public UpstreamServlet(
            NioReactor reactor,
            Slots slots,
            ServiceTimes times,
            UpstreamFaults faults,
            RunLedger ledger,
            Runnable crash) {
        this.reactor = reactor;
        this.slots = slots;
        this.times = times;
        this.faults = faults;
        this.ledger = ledger;
        this.crash = crash;
    }

    /** Returns the state that the upstream announces. */
    public String state() {
        if (faults.leaving()) {
            return "leaving";
        }
        return times.cold(reactor.currentTimeMillis()) ? "warming" : "serving";
    }

    @Override
    public Promise<HttpResponse> serve(HttpRequest request) {
        return request.loadBody().then(body -> serveLoaded(request, body.getString(UTF_8)));
    }

    private Promise<HttpResponse> serveLoaded(HttpRequest request, String body) {
        String path = request.getPath();
        if (path.startsWith("/stand-in/")) {
            return Promise.of(control(path, body).toResponse());
        }
        if (faults.crashes(request.getPathAndQuery(), body)) {
            crash.run();
        }
        if (faults.shed()) {
            return Promise.of(notRun());
        }
        if (faults.failFast()) {
            return Promise.of(Reply.of(500, echo(request)).toResponse());
        }
        return queue(request);
    }

    private Promise<HttpResponse> queue(HttpRequest request) {
        SettablePromise<HttpResponse> answer = new SettablePromise<>();
        long deadline = reactor.currentTimeMillis() + deadlineMilliseconds(request);
        slots.submit(release -> start(request, deadline, answer, release));
        return answer;
    }

    private void start(
            HttpRequest request,
            long deadline,
            SettablePromise<HttpResponse> answer,
            Runnable release) {
        long now = reactor.currentTimeMillis();
        if (now >= deadline || request.getConnection().isClosed()) {
            release.run();
            answer.set(notRun());
            return;
        }
        recordRun(request);
        ByteString body = echo(request);
        long startedAt = System.nanoTime();
        reactor.delay(
                times.next(now),
                () -> {
                    busyNanoseconds += System.nanoTime() - startedAt;
                    release.run();
                    answer.set(Reply.of(200, body).toResponse());
                });
    }

    private void recordRun(HttpRequest request) {
        served++;
        if (request.getMethod() == HttpMethod.POST) {
            String key = header(request, HttpFields.IDEMPOTENCY_KEY).orElse(nonce(request));
            int attempt = header(request, ATTEMPT).map(Integer::parseInt).orElse(1);
            ledger.record(key, attempt, header(request, HttpFields.REQUEST_ID).orElse(""));
        }
    }

    private Reply control(String path, String body) {
        return switch (path) {
            case "/stand-in/ledger" -> Reply.of(200, ledger.toJsonLines());
            case "/stand-in/counters" -> counters();
            case "/stand-in/faults" -> change(JsonObject.parse(body));
            default -> Reply.of(404);
        };
    }

    private Reply counters() {
        JsonObject counts =
                new JsonObject()
                        .with("served", served)
                        .with("held_nanoseconds", busyNanoseconds)
                        .with("waiting", slots.waiting());
        return Reply.of(200, counts.toString());
    }

    private Reply change(JsonObject changes) {
        faults.change(changes);
        if (changes.has("service_time_factor")) {
            times.shift(changes.number("service_time_factor", 1));
        }
        long freeze = (long) changes.number("freeze_milliseconds", 0);
        if (freeze > 0) {
            reactor.delay(1, () -> freeze(freeze));
        }
        return Reply.of(204);
    }

    /** Blocks the event loop, like a suspended VM. */
    private static void freeze(long milliseconds) {
        try {
            Thread.sleep(milliseconds);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private static HttpResponse notRun() {
        return Reply.of(503).withOutcome(HttpFields.NOT_RUN).toResponse();
    }

    private static ByteString echo(HttpRequest request) {
        return EchoBody.of(nonce(request), request.getPath());
    }

    private static String nonce(HttpRequest request) {
        return header(request, HttpFields.NONCE)
                .or(() -> Optional.ofNullable(request.getQueryParameter("nonce")))
                .orElse("");
    }

    private static long deadlineMilliseconds(HttpRequest request) {
        return header(request, HttpFields.DEADLINE_MILLISECONDS)
                .map(Long::parseLong)
                .orElse((long) Integer.MAX_VALUE);
    }

    private static Optional<String> header(HttpRequest request, HttpHeader name) {
        return Optional.ofNullable(request.getHeader(name));
    }
}
