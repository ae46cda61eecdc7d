package org.damaskmoor.bench.http;

import com.google.protobuf.ByteString;
import io.activej.eventloop.Eventloop;
import io.activej.http.HttpClient;
import io.activej.http.HttpRequest;
import io.activej.http.HttpResponse;
import java.io.IOException;
import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.ExecutionException;

/**
 * A blocking HTTP client for control calls that are not part of a measurement.
 *
 * <p>Thread safe; must not be called from its own event loop.
 */
public final class BlockingClient implements AutoCloseable {
    private final Eventloop eventLoop = Eventloop.create();
    private final HttpClient client;

    public BlockingClient(Duration timeout) {
        client = LoopbackClient.create(eventLoop, timeout);
        eventLoop.keepAlive(true);
        Thread thread = new Thread(eventLoop, "control-calls");
        thread.setDaemon(true);
        thread.start();
    }

    /** Sends a GET and returns the answer. */
    public Reply get(String url) throws IOException {
        return call(HttpRequest.get(url).build());
    }

    /** Sends a POST and returns the answer. */
    public Reply post(String url, String body) throws IOException {
        return call(HttpRequest.post(url).withBody(body).build());
    }

    /**
     * Sends a PUT that takes effect only if the resource does not exist, and returns the answer.
     */
    public Reply create(String url, ByteString body) throws IOException {
        return call(
                HttpRequest.put(url)
                        .withHeader(HttpFields.IF_NONE_MATCH, "*")
                        .withBody(body.toByteArray())
                        .build());
    }

    private Reply call(HttpRequest request) throws IOException {
        String url = request.getFullUrl();
        try {
            return eventLoop.submit(() -> client.request(request).then(BlockingClient::read)).get();
        } catch (ExecutionException e) {
            throw new IOException("call failed: " + url + ": " + e.getCause(), e);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new IOException("interrupted during call: " + url, e);
        }
    }

    private static io.activej.promise.Promise<Reply> read(HttpResponse response) {
        Optional<String> outcome = Optional.ofNullable(response.getHeader(HttpFields.OUTCOME));
        return response.loadBody()
                .map(buffer -> buffer.getArray())
                .map(bytes -> ByteString.copyFrom(bytes))
                .map(body -> new Reply(response.getCode(), body, Optional.empty(), outcome));
    }

    @Override
    public void close() {
        eventLoop.keepAlive(false);
        eventLoop.execute(eventLoop::breakEventloop);
    }
}
