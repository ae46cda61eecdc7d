package org.damaskmoor.node.internal.target;

import com.google.protobuf.ByteString;
import io.activej.bytebuf.ByteBuf;
import io.activej.eventloop.Eventloop;
import io.activej.http.HttpClient;
import io.activej.http.HttpHeaders;
import io.activej.http.HttpMethod;
import io.activej.http.HttpRequest;
import io.activej.http.HttpResponse;
import io.activej.promise.Promise;
import io.activej.reactor.schedule.ScheduledRunnable;
import java.time.Duration;
import java.util.List;
import java.util.function.Consumer;
import org.damaskmoor.node.internal.http.HeaderFields;
import org.damaskmoor.node.internal.http.OutcomeReplies;
import org.damaskmoor.platform.http.ConnectFailureInspector;
import org.damaskmoor.platform.http.SystemDnsClient;
import org.damaskmoor.schema.mesh.Call;
import org.damaskmoor.schema.mesh.CallAnswer;
import org.damaskmoor.schema.mesh.HeaderField;

/**
 * Sends calls to the upstream over HTTP with the ActiveJ client.
 *
 * <p>Each call has its own connection: on a kept-alive connection the client would take a late or
 * duplicate response for that of the next call.
 *
 * <p>Confined to the upstream event loop. Invariants: a call is written to one connection at most;
 * it is never retried here; an interim response is never taken for the final one.
 */
final class HttpUpstreamClient implements UpstreamClient {
    private static final Duration CONNECT_TIMEOUT = Duration.ofMillis(500);
    private static final Duration READ_WRITE_TIMEOUT = Duration.ofMinutes(10);
    private static final int SERVICE_UNAVAILABLE = 503;
    private static final int FIRST_FINAL_STATUS = 200;

    /** Headers under the control of this node; the caller's values are not forwarded. */
    private static final List<String> RESERVED_HEADERS =
            List.of(
                    "Damaskmoor-Request-Id",
                    "Damaskmoor-Deadline-Ms",
                    "Damaskmoor-Caller",
                    "Accept-Encoding",
                    "Expect");

    private final Eventloop loop;
    private final int maximumBodyBytes;
    private final ConnectFailureInspector connectFailures = new ConnectFailureInspector();
    private final HttpClient client;

    HttpUpstreamClient(Eventloop loop, int maximumBodyBytes) {
        this.loop = loop;
        this.maximumBodyBytes = maximumBodyBytes;
        this.client =
                HttpClient.builder(loop, new SystemDnsClient(loop))
                        .withConnectTimeout(CONNECT_TIMEOUT)
                        .withNoKeepAlive()
                        .withReadWriteTimeout(READ_WRITE_TIMEOUT)
                        .withMaxBodySize(maximumBodyBytes)
                        .withInspector(connectFailures)
                        .build();
    }

    @Override
    public void send(
            UpstreamAddress upstream,
            Call call,
            long remainingMilliseconds,
            Consumer<UpstreamOutcome> whenDone) {
        FirstOutcome outcome = new FirstOutcome(whenDone);
        HttpRequest request;
        try {
            request = request(upstream, call, remainingMilliseconds);
        } catch (IllegalArgumentException unusable) {
            outcome.accept(new UpstreamOutcome.NotRun(false, false));
            return;
        }
        outcome.setDeadlineTimer(loop.delay(remainingMilliseconds, outcome::expire));
        client.request(request)
                .then(response -> readResponse(call, response))
                .whenResult(outcome::accept)
                .whenException(exception -> outcome.accept(failure(request, exception)));
    }

    private UpstreamOutcome failure(HttpRequest request, Exception exception) {
        if (connectFailures.remove(request)) {
            return new UpstreamOutcome.NotRun(true, false);
        }
        return new UpstreamOutcome.Failed(String.valueOf(exception), true);
    }

    /** For HEAD the client would wait for a body of the declared length, which never comes. */
    private Promise<UpstreamOutcome> readResponse(Call call, HttpResponse response) {
        if (call.getMethod().equals("HEAD")) {
            UpstreamOutcome outcome = outcome(response, ByteBuf.empty());
            response.takeBodyStream().close();
            return Promise.of(outcome);
        }
        return response.loadBody(maximumBodyBytes).map(body -> outcome(response, body));
    }

    private static UpstreamOutcome outcome(HttpResponse response, ByteBuf body) {
        if (response.getCode() < FIRST_FINAL_STATUS) {
            String detail = "interim answer " + response.getCode() + " in place of the final one";
            return new UpstreamOutcome.Failed(detail, true);
        }
        if (isNotRun(response)) {
            boolean refusedBelow =
                    response.getHeader(HttpHeaders.of(OutcomeReplies.REFUSED_BELOW_FIELD)) != null;
            return new UpstreamOutcome.NotRun(false, refusedBelow);
        }
        return new UpstreamOutcome.Answered(
                CallAnswer.newBuilder()
                        .setStatus(response.getCode())
                        .addAllHeaders(HeaderFields.ofResponse(response))
                        .setBody(ByteString.copyFrom(body.getArray()))
                        .build());
    }

    private static boolean isNotRun(HttpResponse response) {
        String outcome = response.getHeader(HttpHeaders.of(OutcomeReplies.OUTCOME_FIELD));
        return response.getCode() == SERVICE_UNAVAILABLE && OutcomeReplies.NOT_RUN.equals(outcome);
    }

    private static HttpRequest request(
            UpstreamAddress upstream, Call call, long remainingMilliseconds) {
        String url = "http://" + upstream.host() + ":" + upstream.port() + call.getTarget();
        HttpRequest.Builder request =
                HttpRequest.builder(HttpMethod.valueOf(call.getMethod()), url);
        for (HeaderField field : call.getHeadersList()) {
            boolean reserved =
                    RESERVED_HEADERS.stream().anyMatch(field.getName()::equalsIgnoreCase);
            if (!reserved && !field.getName().equalsIgnoreCase("Host")) {
                request.withHeader(HttpHeaders.of(field.getName()), field.getValue());
            }
        }
        request.withHeader(HttpHeaders.of("Damaskmoor-Request-Id"), requestId(call));
        request.withHeader(
                HttpHeaders.of("Damaskmoor-Deadline-Ms"), Long.toString(remainingMilliseconds));
        request.withHeader(HttpHeaders.of("Damaskmoor-Caller"), call.getCaller());
        request.withHeader(HttpHeaders.CONNECTION, "close");
        if (!call.getBody().isEmpty()) {
            request.withBody(call.getBody().toByteArray());
        }
        return request.build();
    }

    private static String requestId(Call call) {
        return call.getRequestId().getEntryNode()
                + "/"
                + call.getRequestId().getEntryIncarnation()
                + "/"
                + call.getRequestId().getSequence();
    }

    /** Passes on the first outcome only. */
    private static final class FirstOutcome {
        private final Consumer<UpstreamOutcome> whenDone;
        private ScheduledRunnable deadlineTimer;
        private boolean done;

        FirstOutcome(Consumer<UpstreamOutcome> whenDone) {
            this.whenDone = whenDone;
        }

        void setDeadlineTimer(ScheduledRunnable timer) {
            deadlineTimer = timer;
        }

        void expire() {
            accept(new UpstreamOutcome.Failed("no answer before the deadline", false));
        }

        void accept(UpstreamOutcome outcome) {
            if (!done) {
                done = true;
                if (deadlineTimer != null && deadlineTimer.isActive()) {
                    deadlineTimer.cancel();
                }
                whenDone.accept(outcome);
            }
        }
    }
}
