package org.damaskmoor.bench.platform;

import com.google.protobuf.ByteString;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.NavigableMap;
import java.util.TreeMap;
import org.damaskmoor.bench.http.JsonObject;
import org.damaskmoor.bench.http.Reply;

/**
 * The operations of the object store.
 *
 * <p>Invariant: a put with If-None-Match never overwrites an existing object. Not thread safe:
 * confined to one event loop.
 */
final class ObjectEndpoint {
    private final NavigableMap<String, ByteString> objects = new TreeMap<>();

    Reply get(String name) {
        ByteString content = objects.get(name);
        return content == null ? Reply.of(404) : Reply.of(200, content);
    }

    Reply put(String name, boolean onlyIfAbsent, ByteString content) {
        if (onlyIfAbsent && objects.containsKey(name)) {
            return Reply.of(412);
        }
        return Reply.of(objects.put(name, content) == null ? 201 : 200);
    }

    Reply delete(String name) {
        return Reply.of(objects.remove(name) == null ? 404 : 204);
    }

    Reply list(String prefix, String after, int limit) {
        List<JsonObject> found = new ArrayList<>();
        for (Map.Entry<String, ByteString> entry : objects.tailMap(after, false).entrySet()) {
            if (found.size() == limit) {
                break;
            }
            if (entry.getKey().startsWith(prefix)) {
                found.add(
                        new JsonObject()
                                .with("name", entry.getKey())
                                .with("size", entry.getValue().size()));
            }
        }
        return PlatformServlet.json(200, "objects", found);
    }
}
