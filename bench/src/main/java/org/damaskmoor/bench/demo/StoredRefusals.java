package org.damaskmoor.bench.demo;

import com.google.protobuf.InvalidProtocolBufferException;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.OptionalLong;
import org.damaskmoor.bench.http.BlockingClient;
import org.damaskmoor.bench.http.JsonObject;
import org.damaskmoor.schema.accounting.RefusalObject;
import org.damaskmoor.schema.mesh.RefusalCount;

/**
 * Counts the refusals in the object store, independently of the code that reports them.
 *
 * <p>Thread-safe.
 */
public final class StoredRefusals implements AccountedRefusals {
    private static final String PREFIX = "refusals/";

    private final BlockingClient client;

    public StoredRefusals(BlockingClient client) {
        this.client = client;
    }

    @Override
    public OptionalLong count(String objectStoreUrl) throws IOException {
        List<RefusalObject> objects = new ArrayList<>();
        String after = "";
        List<String> names = listNames(objectStoreUrl, after);
        while (!names.isEmpty()) {
            for (String name : names) {
                objects.add(read(objectStoreUrl, name));
                after = name;
            }
            names = listNames(objectStoreUrl, after);
        }
        return OptionalLong.of(sum(objects));
    }

    private List<String> listNames(String objectStoreUrl, String after) throws IOException {
        String url = objectStoreUrl + "/objects?prefix=" + PREFIX + "&after=" + after;
        JsonObject page = JsonObject.parse(client.get(url).body().toStringUtf8());
        return page.list("objects", JsonObject.class).stream()
                .map(object -> object.text("name", ""))
                .toList();
    }

    private RefusalObject read(String objectStoreUrl, String name) throws IOException {
        try {
            return RefusalObject.parseFrom(client.get(objectStoreUrl + "/objects/" + name).body());
        } catch (InvalidProtocolBufferException e) {
            throw new IOException("object " + name + " is not a valid refusal object", e);
        }
    }

    /** Sums the counts of all objects whose batches are not contained in another object. */
    static long sum(List<RefusalObject> objects) {
        List<RefusalObject> distinct = objects.stream().distinct().toList();
        return distinct.stream()
                .filter(object -> distinct.stream().noneMatch(other -> contains(other, object)))
                .flatMap(object -> object.getCountsList().stream())
                .mapToLong(RefusalCount::getCount)
                .sum();
    }

    private static boolean contains(RefusalObject outer, RefusalObject inner) {
        return !outer.equals(inner)
                && outer.getNodeId().equals(inner.getNodeId())
                && outer.getIncarnation() == inner.getIncarnation()
                && outer.getEpochHour() == inner.getEpochHour()
                && outer.getFirstSequence() <= inner.getFirstSequence()
                && outer.getLastSequence() >= inner.getLastSequence();
    }
}
