package standin3;

import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Base64;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;

/**
 * The platform's metadata store, as far as the relays call it: rows-get, rows-feed and rows-tx.
 *
 * <p>Thread-safe. Invariant: each transaction gets the next version.
 */
public final class Store implements AutoCloseable {
    private final HttpServer server;
    private final ExecutorService threads = Executors.newCachedThreadPool();
    private final Map<String, Map<String, Row>> tables = new HashMap<>();
    private final List<Row> history = new ArrayList<>();
    private final long startedAt = System.nanoTime();
    private long version = 1;

    private record Row(String table, String key, String value, long version, boolean removed) {
        String json() {
            String content =
                    removed ? "\"removed\":true" : "\"value\":" + Json.quote(value);
            return "{\"table\":"
                    + Json.quote(table)
                    + ",\"part\":\"\",\"key\":"
                    + Json.quote(key)
                    + ","
                    + content
                    + ",\"ver\":"
                    + version
                    + "}";
        }
    }

    public Store() throws IOException {
        server = HttpServer.create(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), 64);
        server.setExecutor(threads);
        server.createContext("/", this::handle);
        server.start();
    }

    public InetSocketAddress address() {
        return server.getAddress();
    }

    /** Writes a row as the operator does; the return is its acknowledgement. */
    public synchronized void put(String table, String key, String text) {
        version++;
        change(
                table,
                key,
                Base64.getEncoder().encodeToString(text.getBytes(StandardCharsets.UTF_8)),
                false);
    }

    private void change(String table, String key, String value, boolean removed) {
        Row row = new Row(table, key, value, version, removed);
        Map<String, Row> rows = tables.computeIfAbsent(table, unused -> new TreeMap<>());
        if (removed) {
            rows.remove(key);
        } else {
            rows.put(key, row);
        }
        history.add(row);
        notifyAll();
    }

    private void handle(HttpExchange exchange) throws IOException {
        String body = new String(exchange.getRequestBody().readAllBytes(), StandardCharsets.UTF_8);
        try {
            switch (exchange.getRequestURI().getPath()) {
                case "/v1/rows-get" -> answer(exchange, 200, read(query(exchange)));
                case "/v1/rows-feed" -> answer(exchange, 200, watch(query(exchange)));
                case "/v1/rows-tx" -> transact(exchange, body);
                default -> answer(exchange, 404, "{}");
            }
        } catch (InterruptedException interrupted) {
            Thread.currentThread().interrupt();
        }
    }

    private synchronized String read(Map<String, String> query) {
        List<Row> rows = new ArrayList<>();
        for (Row row : tables.getOrDefault(query.get("table"), Map.of()).values()) {
            if (row.key().compareTo(query.getOrDefault("from", "")) >= 0) {
                rows.add(row);
            }
        }
        return page(rows);
    }

    private synchronized String watch(Map<String, String> query) throws InterruptedException {
        long after = Long.parseLong(query.get("after"));
        long until = System.nanoTime() + 1_000_000L * Long.parseLong(query.get("waitMs"));
        while (true) {
            List<Row> rows = new ArrayList<>();
            for (Row row : history) {
                if (row.version() > after && row.table().equals(query.get("table"))) {
                    rows.add(row);
                }
            }
            long left = (until - System.nanoTime()) / 1_000_000;
            if (!rows.isEmpty() || left <= 0) {
                return page(rows);
            }
            wait(left);
        }
    }

    @SuppressWarnings("unchecked")
    private void transact(HttpExchange exchange, String body) throws IOException {
        int status = 200;
        String page;
        synchronized (this) {
            Map<String, Object> transaction = (Map<String, Object>) Json.parse(body);
            for (Object entry : (List<Object>) transaction.get("expect")) {
                Map<String, Object> row = (Map<String, Object>) entry;
                Row found = tables.getOrDefault(row.get("table"), Map.of()).get(row.get("key"));
                if ((found == null ? 0 : found.version()) != (Long) row.get("ver")) {
                    status = 412;
                }
            }
            if (status == 200) {
                version++;
                for (Object entry : (List<Object>) transaction.get("puts")) {
                    Map<String, Object> row = (Map<String, Object>) entry;
                    change(
                            (String) row.get("table"),
                            (String) row.get("key"),
                            (String) row.get("value"),
                            false);
                }
                for (Object entry : (List<Object>) transaction.get("remove")) {
                    Map<String, Object> row = (Map<String, Object>) entry;
                    change((String) row.get("table"), (String) row.get("key"), "", true);
                }
            }
            page = page(List.of());
        }
        answer(exchange, status, page);
    }

    private String page(List<Row> rows) {
        return "{\"rows\":["
                + String.join(",", rows.stream().map(Row::json).toList())
                + "],\"hasMore\":false,\"ver\":"
                + version
                + ",\"now\":\""
                + ((System.nanoTime() - startedAt) / 1_000_000 + 1)
                + "ms\"}";
    }

    private static Map<String, String> query(HttpExchange exchange) {
        Map<String, String> query = new HashMap<>();
        for (String pair : exchange.getRequestURI().getRawQuery().split("&", -1)) {
            int equals = pair.indexOf('=');
            query.put(
                    pair.substring(0, equals),
                    URLDecoder.decode(pair.substring(equals + 1), StandardCharsets.UTF_8));
        }
        return query;
    }

    private static void answer(HttpExchange exchange, int status, String body) throws IOException {
        byte[] bytes = body.getBytes(StandardCharsets.UTF_8);
        exchange.getResponseHeaders().set("Content-Type", "application/json");
        exchange.sendResponseHeaders(status, bytes.length);
        exchange.getResponseBody().write(bytes);
        exchange.close();
    }

    @Override
    public void close() {
        server.stop(0);
        threads.shutdownNow();
    }
}
