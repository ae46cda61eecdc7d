import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Base64;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * Stand-in for the platform's metadata store: rows of the empty part, transactions and the feed.
 *
 * <p>Thread-safe. Invariant: each transaction gets the next version.
 */
final class Store implements AutoCloseable {
    private record Row(String table, String key, String value, long version, boolean removed) {
        String json() {
            return "{\"table\":" + Json.quote(table) + ",\"part\":\"\",\"key\":" + Json.quote(key)
                    + ",\"ver\":" + version
                    + (removed ? ",\"removed\":true}" : ",\"value\":" + Json.quote(value) + "}");
        }
    }

    /** How the store answers. */
    enum Mode { NORMAL, BUSY, SILENT }

    private final ServerSocket server;
    private final Map<String, TreeMap<String, Row>> tables = new HashMap<>();
    private final List<Row> history = new ArrayList<>();
    private final long startedAt = System.nanoTime();
    private long version = 1;
    private volatile Mode mode = Mode.NORMAL;

    Store() throws IOException {
        server = new ServerSocket(0, 200, InetAddress.getLoopbackAddress());
        Threads.start("store", this::accept);
    }

    InetSocketAddress address() {
        return (InetSocketAddress) server.getLocalSocketAddress();
    }

    void mode(Mode newMode) {
        mode = newMode;
    }

    /** Writes a row as the operator does. */
    synchronized void put(String table, String key, String text) {
        version++;
        putRow(table, key, Base64.getEncoder().encodeToString(text.getBytes(StandardCharsets.UTF_8)));
        notifyAll();
    }

    private void putRow(String table, String key, String value) {
        Row row = new Row(table, key, value, version, false);
        tables.computeIfAbsent(table, unused -> new TreeMap<>()).put(key, row);
        history.add(row);
    }

    private void accept() throws IOException {
        while (true) {
            Socket socket = server.accept();
            Threads.start("store-connection", () -> serve(socket));
        }
    }

    private void serve(Socket socket) throws Exception {
        try (socket) {
            BufferedInputStream in = new BufferedInputStream(socket.getInputStream());
            OutputStream out = socket.getOutputStream();
            for (Wire.Message call = Wire.message(in, false); call != null; call = Wire.message(in, false)) {
                if (mode == Mode.SILENT) {
                    in.readAllBytes();
                    return;
                }
                String[] answer = mode == Mode.BUSY ? new String[] {"503", "{}"} : answer(call);
                byte[] body = answer[1].getBytes(StandardCharsets.UTF_8);
                String head = "HTTP/1.1 " + answer[0] + " x\r\nContent-Type: application/json\r\nContent-Length: "
                        + body.length + "\r\n\r\n";
                out.write(head.getBytes(StandardCharsets.ISO_8859_1));
                out.write(body);
                out.flush();
            }
        }
    }

    private String[] answer(Wire.Message call) throws InterruptedException {
        String[] target = call.path().split("\\?", 2);
        Map<String, String> query = new HashMap<>();
        if (target.length > 1) {
            for (String pair : target[1].split("&")) {
                String[] sides = pair.split("=", 2);
                query.put(sides[0], URLDecoder.decode(sides[1], StandardCharsets.UTF_8));
            }
        }
        return switch (target[0]) {
            case "/v1/rows-get" -> get(query);
            case "/v1/rows-feed" -> feed(query);
            case "/v1/rows-tx" -> transact(new String(call.body(), StandardCharsets.UTF_8));
            default -> new String[] {"404", "{}"};
        };
    }

    private synchronized String[] get(Map<String, String> query) {
        int limit = Integer.parseInt(query.getOrDefault("limit", "500"));
        List<String> rows = new ArrayList<>();
        boolean more = false;
        TreeMap<String, Row> table = tables.getOrDefault(query.get("table"), new TreeMap<>());
        for (Row row : table.tailMap(query.getOrDefault("from", ""), true).values()) {
            if (rows.size() == limit) {
                more = true;
                break;
            }
            rows.add(row.json());
        }
        return page(rows, more);
    }

    private synchronized String[] feed(Map<String, String> query) throws InterruptedException {
        long after = Long.parseLong(query.get("after"));
        long until = System.nanoTime() + 1_000_000 * Long.parseLong(query.get("waitMs"));
        while (true) {
            List<String> rows = new ArrayList<>();
            for (Row row : history) {
                if (row.version() > after && row.table().equals(query.get("table"))) {
                    rows.add(row.json());
                }
            }
            long left = (until - System.nanoTime()) / 1_000_000;
            if (!rows.isEmpty() || left <= 0) {
                return page(rows, false);
            }
            wait(left);
        }
    }

    @SuppressWarnings("unchecked")
    private synchronized String[] transact(String body) {
        Map<String, Object> call = (Map<String, Object>) Json.parse(body);
        for (Object element : (List<Object>) call.getOrDefault("expect", List.of())) {
            Map<String, Object> expected = (Map<String, Object>) element;
            Row row = table(expected).get((String) expected.get("key"));
            if ((row == null ? 0 : row.version()) != ((Double) expected.get("ver")).longValue()) {
                return new String[] {"412", page(row == null ? List.of() : List.of(row.json()), false)[1]};
            }
        }
        version++;
        for (Object element : (List<Object>) call.getOrDefault("puts", List.of())) {
            Map<String, Object> put = (Map<String, Object>) element;
            putRow((String) put.get("table"), (String) put.get("key"), (String) put.get("value"));
        }
        for (Object element : (List<Object>) call.getOrDefault("remove", List.of())) {
            Map<String, Object> removed = (Map<String, Object>) element;
            table(removed).remove((String) removed.get("key"));
            history.add(new Row((String) removed.get("table"), (String) removed.get("key"), "", version, true));
        }
        notifyAll();
        return page(List.of(), false);
    }

    private TreeMap<String, Row> table(Map<String, Object> entry) {
        return tables.computeIfAbsent((String) entry.get("table"), unused -> new TreeMap<>());
    }

    private String[] page(List<String> rows, boolean more) {
        long now = (System.nanoTime() - startedAt) / 1_000_000 + 1;
        return new String[] {"200", "{\"rows\":[" + String.join(",", rows) + "],\"hasMore\":" + more
                + ",\"ver\":" + version + ",\"now\":\"" + now + "ms\"}"};
    }

    @Override
    public void close() throws IOException {
        server.close();
    }
}
