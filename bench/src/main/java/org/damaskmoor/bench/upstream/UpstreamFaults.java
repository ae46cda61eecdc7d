package org.damaskmoor.bench.upstream;

import java.util.Optional;
import org.damaskmoor.bench.http.JsonObject;

/**
 * The faults that an upstream stand-in shows at the moment.
 *
 * <p>Each change names only what it changes. Not thread safe: one event loop owns it.
 */
public final class UpstreamFaults {
    private boolean failFast;
    private boolean shed;
    private boolean leaving;
    private String crashOn = "";

    /** Takes over the faults that the JSON object names. */
    public void change(JsonObject wanted) {
        failFast = wanted.has("fail_fast") ? wanted.flag("fail_fast") : failFast;
        shed = wanted.has("shed") ? wanted.flag("shed") : shed;
        leaving = wanted.has("state") ? isLeaving(wanted) : leaving;
        crashOn = wanted.text("crash_on", crashOn);
    }

    private static boolean isLeaving(JsonObject wanted) {
        return wanted.text("state", "").equals("leaving");
    }

    /** Returns true when every request fails at once with 500. */
    public boolean failFast() {
        return failFast;
    }

    /** Returns true when every request is refused without being run. */
    public boolean shed() {
        return shed;
    }

    /** Returns true when the upstream announces that it leaves. */
    public boolean leaving() {
        return leaving;
    }

    /** Returns true when this request crashes the process. */
    public boolean crashes(String path, String body) {
        return Optional.of(crashOn)
                .filter(text -> !text.isEmpty())
                .filter(text -> path.contains(text) || body.contains(text))
                .isPresent();
    }
}
