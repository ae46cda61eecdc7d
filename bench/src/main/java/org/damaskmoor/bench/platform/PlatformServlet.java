package org.damaskmoor.bench.platform;

import static java.nio.charset.StandardCharsets.UTF_8;

import com.google.protobuf.ByteString;
import io.activej.http.AsyncServlet;
import io.activej.http.HttpMethod;
import io.activej.http.HttpRequest;
import io.activej.http.HttpResponse;
import io.activej.promise.Promise;
import io.activej.promise.Promises;
import io.activej.reactor.nio.NioReactor;
import java.net.URLDecoder;
import java.util.Optional;
import org.damaskmoor.bench.http.HttpFields;
import org.damaskmoor.bench.http.JsonObject;
import org.damaskmoor.bench.http.NoAnswerException;
import org.damaskmoor.bench.http.Reply;
import org.damaskmoor.bench.platform.PlatformFaults.Mode;
import org.damaskmoor.bench.platform.TableStore.Condition;

/**
 * The platform stand-in: the table service and the object store of docs/INTERFACES.md, with faults
 * set by {@code POST /stand-in/faults} and counters at {@code GET /stand-in/counters}.
 *
 * <p>Invariants: no request takes effect while down; a write whose answer is lost has taken effect.
 * Not thread safe: confined to one event loop.
 */
public final class PlatformServlet implements AsyncServlet {
    private static final int DEFAULT_LIMIT = 1000;

    private final NioReactor reactor;
    private final TableEndpoint tables = new TableEndpoint(new TableStore());
    private final ObjectEndpoint objects = new ObjectEndpoint();
    private final PlatformFaults faults = new PlatformFaults();
    private final PlatformCounters counters = new PlatformCounters();

    public PlatformServlet(NioReactor reactor) {
        this.reactor = reactor;
    }

    @Override
    public Promise<HttpResponse> serve(HttpRequest request) {
        return request.loadBody()
                .then(body -> serveLoaded(request, ByteString.copyFrom(body.getArray())));
    }

    private Promise<HttpResponse> serveLoaded(HttpRequest request, ByteString body) {
        if (request.getPath().startsWith("/stand-in/")) {
            return Promise.of(control(request, body).toResponse());
        }
        Mode mode = faults.mode(reactor.currentTimeMillis());
        if (mode == Mode.DOWN) {
            counters.refused();
            return Promise.of(Reply.of(503).toResponse());
        }
        Reply reply = route(request, body);
        boolean write = request.getMethod() != HttpMethod.GET;
        counters.count(write, reply, body.size());
        if (mode == Mode.LOSE_ANSWERS && write) {
            counters.answerLost();
            return Promise.ofException(new NoAnswerException());
        }
        if (mode == Mode.SLOW) {
            return Promises.delay(faults.delayMilliseconds(), reply.toResponse());
        }
        return Promise.of(reply.toResponse());
    }

    private Reply control(HttpRequest request, ByteString body) {
        if (request.getPath().equals("/stand-in/counters")) {
            return counters.reply();
        }
        faults.change(JsonObject.parse(body.toStringUtf8()), reactor.currentTimeMillis());
        return Reply.of(204);
    }

    private Reply route(HttpRequest request, ByteString body) {
        String[] parts = request.getPath().split("/", 5);
        if (parts.length == 2 && parts[1].equals("transactions")) {
            return tables.transact(JsonObject.parse(body.toStringUtf8()));
        }
        if (parts.length >= 4 && parts[1].equals("tables") && parts[3].equals("rows")) {
            return parts.length == 4
                    ? tables.scan(parts[2], prefix(request), after(request), limit(request))
                    : row(request, parts[2], decode(parts[4]), body);
        }
        if (parts.length >= 2 && parts[1].equals("objects")) {
            return parts.length == 2
                    ? objects.list(prefix(request), after(request), limit(request))
                    : object(request, body);
        }
        return Reply.of(404);
    }

    private Reply row(HttpRequest request, String table, String key, ByteString body) {
        return switch (request.getMethod()) {
            case GET -> tables.get(table, key);
            case PUT -> tables.put(table, key, condition(request), body);
            case DELETE -> tables.delete(table, key, condition(request));
            default -> Reply.of(405);
        };
    }

    private Reply object(HttpRequest request, ByteString body) {
        String name = decode(request.getPath().substring("/objects/".length()));
        return switch (request.getMethod()) {
            case GET -> objects.get(name);
            case PUT -> objects.put(name, condition(request).ifNoneMatch(), body);
            case DELETE -> objects.delete(name);
            default -> Reply.of(405);
        };
    }

    private static Condition condition(HttpRequest request) {
        Optional<String> ifMatch =
                Optional.ofNullable(request.getHeader(HttpFields.IF_MATCH))
                        .map(tag -> tag.replace("\"", ""));
        return new Condition(ifMatch, request.getHeader(HttpFields.IF_NONE_MATCH) != null);
    }

    private static String prefix(HttpRequest request) {
        return parameter(request, "prefix", "");
    }

    private static String after(HttpRequest request) {
        return parameter(request, "after", "");
    }

    private static int limit(HttpRequest request) {
        return Integer.parseInt(parameter(request, "limit", String.valueOf(DEFAULT_LIMIT)));
    }

    private static String parameter(HttpRequest request, String name, String otherwise) {
        return Optional.ofNullable(request.getQueryParameter(name)).orElse(otherwise);
    }

    private static String decode(String text) {
        return URLDecoder.decode(text.replace("+", "%2B"), UTF_8);
    }

    static Reply json(int status, String name, Object value) {
        return Reply.of(status, new JsonObject().with(name, value).toString());
    }
}
