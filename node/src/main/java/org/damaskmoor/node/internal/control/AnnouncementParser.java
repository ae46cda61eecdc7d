package org.damaskmoor.node.internal.control;

import com.google.gson.JsonElement;
import com.google.gson.JsonObject;
import java.util.regex.Pattern;
import org.damaskmoor.core.id.ServiceName;
import org.damaskmoor.node.internal.target.Announcement;
import org.damaskmoor.node.internal.target.UpstreamAddress;
import org.damaskmoor.schema.mesh.UpstreamState;

/** Parses and validates the announcements of an upstream. Stateless and thread-safe. */
final class AnnouncementParser {
    private static final Pattern SERVICE = Pattern.compile("[a-z0-9][a-z0-9-]{0,62}");
    private static final Pattern ADDRESS = Pattern.compile("[0-9a-f.:]{2,45}");
    private static final int MAXIMUM_PORT = 65_535;
    private static final int MAXIMUM_SLOTS = 100_000;

    private AnnouncementParser() {}

    static Announcement parse(JsonElement element) throws InvalidAnnouncementException {
        if (!element.isJsonObject()) {
            throw new InvalidAnnouncementException("(whole body)", "a JSON object");
        }
        JsonObject body = element.getAsJsonObject();
        return new Announcement(
                new ServiceName(text(body, "service", SERVICE)),
                new UpstreamAddress(
                        text(body, "address", ADDRESS), number(body, "port", MAXIMUM_PORT)),
                number(body, "slots", MAXIMUM_SLOTS),
                number(body, "connections", MAXIMUM_SLOTS),
                state(body));
    }

    private static UpstreamState state(JsonObject body) throws InvalidAnnouncementException {
        return switch (text(body, "state", Pattern.compile(".*"))) {
            case "warming" -> UpstreamState.WARMING;
            case "serving" -> UpstreamState.SERVING;
            case "leaving" -> UpstreamState.LEAVING;
            default ->
                    throw new InvalidAnnouncementException("state", "warming, serving or leaving");
        };
    }

    private static String text(JsonObject body, String field, Pattern pattern)
            throws InvalidAnnouncementException {
        JsonElement value = body.get(field);
        boolean usable =
                value != null
                        && value.isJsonPrimitive()
                        && pattern.matcher(value.getAsString()).matches();
        if (!usable) {
            throw new InvalidAnnouncementException(field, "text that matches " + pattern);
        }
        return value.getAsString();
    }

    private static int number(JsonObject body, String field, int maximum)
            throws InvalidAnnouncementException {
        try {
            JsonElement value = body.get(field);
            int number = value == null ? 0 : value.getAsInt();
            if (number >= 1 && number <= maximum) {
                return number;
            }
        } catch (NumberFormatException | UnsupportedOperationException notANumber) {
            throw new InvalidAnnouncementException(field, "a number from 1 to " + maximum);
        }
        throw new InvalidAnnouncementException(field, "a number from 1 to " + maximum);
    }
}
