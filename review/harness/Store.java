import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
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

/** The platform's metadata store, as far as the relay calls it: rows-get, rows-feed, rows-tx. */
final class Store {
    private record Row(String table, String key, String value, long version, boolean removed) {}

    private final HttpServer server;
    private final ExecutorService threads = Executors.newCachedThreadPool(Kit::daemon);
    private final Map<String, TreeMap<String, Row>> tables = new HashMap<>();
    private final List<Row> history = new ArrayList<>();
    private long version = 1;
    private boolean silent;

    Store(InetSocketAddress address) throws IOException {
        server = HttpServer.create(address, 50);
        server.setExecutor(threads);
        server.createContext("/", this::handle);
        server.start();
    }

    void close() {
        server.stop(0);
    }

    /** While silent, calls are neither done nor answered. */
    synchronized void setSilent(boolean value) {
        silent = value;
        notifyAll();
    }

    synchronized void putConfiguration(String text) {
        put(
                "op",
                "config",
                Base64.getEncoder().encodeToString(text.getBytes(StandardCharsets.UTF_8)));
    }

    synchronized List<String> keys(String table) {
        return new ArrayList<>(tables.getOrDefault(table, new TreeMap<>()).keySet());
    }

    private void put(String table, String key, String value) {
        Row row = new Row(table, key, value, ++version, false);
        tables.computeIfAbsent(table, t -> new TreeMap<>()).put(key, row);
        history.add(row);
        notifyAll();
    }

    private void handle(HttpExchange exchange) throws IOException {
        String body = new String(exchange.getRequestBody().readAllBytes(), StandardCharsets.UTF_8);
        try {
            synchronized (this) {
                if (silent) {
                    // The connection stays open and nothing is said; the call is not done.
                    while (silent) {
                        wait();
                    }
                    exchange.close();
                    return;
                }
                switch (exchange.getRequestURI().getPath()) {
                    case "/v1/rows-get" -> read(exchange);
                    case "/v1/rows-feed" -> feed(exchange);
                    case "/v1/rows-tx" -> transact(exchange, body);
                    default -> answer(exchange, 404, "{}");
                }
            }
        } catch (InterruptedException interrupted) {
            Thread.currentThread().interrupt();
        }
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

    private void read(HttpExchange exchange) throws IOException {
        Map<String, String> query = query(exchange);
        List<Row> rows = new ArrayList<>();
        for (Row row : tables.getOrDefault(query.get("table"), new TreeMap<>()).values()) {
            if (row.key().compareTo(query.getOrDefault("from", "")) >= 0) {
                rows.add(row);
            }
        }
        int limit = Integer.parseInt(query.getOrDefault("limit", "500"));
        boolean more = rows.size() > limit;
        answer(exchange, 200, page(more ? rows.subList(0, limit) : rows, more));
    }

    private void feed(HttpExchange exchange) throws IOException, InterruptedException {
        Map<String, String> query = query(exchange);
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
            if (silent) {
                wait();
            } else if (!rows.isEmpty() || left <= 0) {
                answer(exchange, 200, page(rows, false));
                return;
            } else {
                wait(left);
            }
        }
    }

    @SuppressWarnings("unchecked")
    private void transact(HttpExchange exchange, String body) throws IOException {
        Map<String, Object> transaction = (Map<String, Object>) Json.parse(body);
        for (Object element : (List<Object>) transaction.get("expect")) {
            Map<String, Object> expected = (Map<String, Object>) element;
            Row row =
                    tables.getOrDefault(expected.get("table"), new TreeMap<>())
                            .get(expected.get("key"));
            long found = row == null ? 0 : row.version();
            if (found != ((Double) expected.get("ver")).longValue()) {
                answer(exchange, 412, page(row == null ? List.of() : List.of(row), false));
                return;
            }
        }
        for (Object element : (List<Object>) transaction.get("puts")) {
            Map<String, Object> put = (Map<String, Object>) element;
            put((String) put.get("table"), (String) put.get("key"), (String) put.get("value"));
        }
        for (Object element : (List<Object>) transaction.get("remove")) {
            Map<String, Object> remove = (Map<String, Object>) element;
            String table = (String) remove.get("table");
            String key = (String) remove.get("key");
            tables.computeIfAbsent(table, t -> new TreeMap<>()).remove(key);
            history.add(new Row(table, key, "", ++version, true));
            notifyAll();
        }
        answer(exchange, 200, page(List.of(), false));
    }

    private String page(List<Row> rows, boolean more) {
        StringBuilder page = new StringBuilder("{\"rows\":[");
        for (Row row : rows) {
            page.append(page.charAt(page.length() - 1) == '[' ? "" : ",")
                    .append("{\"table\":\"")
                    .append(row.table())
                    .append("\",\"part\":\"\",\"key\":\"")
                    .append(row.key())
                    .append("\",\"ver\":")
                    .append(row.version())
                    .append(
                            row.removed()
                                    ? ",\"removed\":true}"
                                    : ",\"value\":\"" + row.value() + "\"}");
        }
        long now = System.nanoTime() / 1_000_000;
        return page + "],\"hasMore\":" + more + ",\"ver\":" + version + ",\"now\":\"" + now + "ms\"}";
    }

    private static void answer(HttpExchange exchange, int status, String body) throws IOException {
        byte[] bytes = body.getBytes(StandardCharsets.UTF_8);
        exchange.getResponseHeaders().set("Content-Type", "application/json");
        exchange.sendResponseHeaders(status, bytes.length);
        exchange.getResponseBody().write(bytes);
        exchange.close();
    }
}
