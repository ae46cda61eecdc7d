package org.damaskmoor.bench.upstream;

import java.util.Optional;
import org.damaskmoor.bench.http.JsonObject;

/**
 * The faults currently injected into an upstream stand-in.
 *
 * <p>A change affects only the faults that it names. Not thread safe: confined to one event loop.
 */
public final class UpstreamFaults {
    private boolean failFast;
    private boolean shed;
    private boolean leaving;
    private String crashOn = "";

    /** Applies the faults named in the JSON object. */
    public void change(JsonObject changes) {
        failFast = changes.has("fail_fast") ? changes.flag("fail_fast") : failFast;
        shed = changes.has("shed") ? changes.flag("shed") : shed;
        leaving = changes.has("state") ? isLeaving(changes) : leaving;
        crashOn = changes.text("crash_on", crashOn);
    }

    private static boolean isLeaving(JsonObject changes) {
        return changes.text("state", "").equals("leaving");
    }

    /** Returns whether every request fails immediately with 500. */
    public boolean failFast() {
        return failFast;
    }

    /** Returns whether every request is refused without being run. */
    public boolean shed() {
        return shed;
    }

    /** Returns whether the upstream announces that it is leaving. */
    public boolean leaving() {
        return leaving;
    }

    /** Returns whether this request crashes the process. */
    public boolean crashes(String path, String body) {
        return Optional.of(crashOn)
                .filter(text -> !text.isEmpty())
                .filter(text -> path.contains(text) || body.contains(text))
                .isPresent();
    }
}
