package org.damaskmoor.relay;

import java.io.IOException;
import java.io.Reader;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Properties;
import java.util.function.Function;
import org.damaskmoor.core.id.DataCentreName;
import org.damaskmoor.core.id.NodeId;
import org.damaskmoor.core.id.RegionName;
import org.damaskmoor.core.id.ServiceName;
import org.damaskmoor.core.settings.SettingFault;
import org.damaskmoor.core.settings.SettingsException;
import org.damaskmoor.relay.internal.net.Addresses;

/**
 * Reads the settings of a relay from a properties file and reports all faults together.
 *
 * <p>Confined to one thread.
 */
public final class RelaySettingsReader {
    private static final long MILLISECONDS_PER_SECOND = 1000;
    private static final String NON_NEGATIVE = "a number that is not negative";
    private static final long LEAST_MAX_ANSWER_BYTES = 64 * 1024;
    private static final long GREATEST_MAX_ANSWER_BYTES = 64 * 1024 * 1024;

    private final Properties properties;
    private final List<SettingFault> faults = new ArrayList<>();

    private RelaySettingsReader(Properties properties) {
        this.properties = properties;
    }

    /**
     * Reads and checks a file.
     *
     * @throws SettingsException if it can't be read, or with the list of its faults
     */
    public static RelaySettings read(Path file) throws SettingsException {
        Properties properties = new Properties();
        try (Reader reader = Files.newBufferedReader(file)) {
            properties.load(reader);
        } catch (IOException | IllegalArgumentException invalid) {
            throw new SettingsException(
                    List.of(
                            new SettingFault(
                                    "settings file",
                                    file.toString(),
                                    "a readable properties file, but: " + invalid.getMessage())));
        }
        return read(properties);
    }

    /**
     * Checks properties.
     *
     * @throws SettingsException with the list of their faults
     */
    public static RelaySettings read(Properties properties) throws SettingsException {
        return new RelaySettingsReader(properties).settings();
    }

    private RelaySettings settings() throws SettingsException {
        Optional<NodeId> node = value("node-id", NodeId::new);
        Optional<RegionName> region = value("region", RegionName::new);
        Optional<DataCentreName> dataCentre = value("data-centre", DataCentreName::new);
        Optional<ServiceName> service = value("service", ServiceName::new);
        Optional<InetSocketAddress> callers = address("caller-address");
        Optional<InetSocketAddress> links = address("link-address");
        Optional<InetSocketAddress> advertisedLinks = addressOr("advertised-link-address", links);
        Optional<InetSocketAddress> readiness = address("readiness-address");
        Optional<InetSocketAddress> announcements = address("announcement-address");
        Optional<InetSocketAddress> upstream = address("upstream-address");
        Optional<InetSocketAddress> store = address("store-address");
        Optional<InetSocketAddress> metrics =
                text("metrics-address").isEmpty() ? Optional.empty() : address("metrics-address");
        Optional<Long> drain = value("drain", RelaySettingsReader::parseMilliseconds);
        Optional<Long> stop = value("stop-timeout", RelaySettingsReader::parseMilliseconds);
        Optional<Double> ratio = value("retry-ratio", RelaySettingsReader::parseNonNegative);
        Optional<Double> slack = value("retry-slack", RelaySettingsReader::parseNonNegative);
        Optional<Long> window = value("retry-window", RelaySettingsReader::parseMilliseconds);
        Optional<Double> checks =
                value("health-checks-per-second", RelaySettingsReader::parseNonNegative);
        Optional<Long> maxAnswerBytes =
                text("max-answer-bytes").isEmpty()
                        ? Optional.of(RelaySettings.DEFAULT_MAX_ANSWER_BYTES)
                        : value("max-answer-bytes", RelaySettingsReader::parseMaxAnswerBytes);
        OptionalLong revocation = revocationMilliseconds();
        boolean coldLimits = isTrue("cold-limits");
        boolean egressControl = isTrue("egress-control");
        if (!faults.isEmpty()) {
            throw new SettingsException(faults);
        }
        return new RelaySettings(
                node.get(),
                region.get(),
                dataCentre.get(),
                service.get(),
                callers.get(),
                links.get(),
                advertisedLinks.get(),
                readiness.get(),
                announcements.get(),
                upstream.get(),
                store.get(),
                metrics,
                list("seeds"),
                drain.get(),
                stop.get(),
                ratio.get(),
                slack.get(),
                window.get(),
                checks.get(),
                maxAnswerBytes.get(),
                revocation,
                coldLimits,
                egressControl);
    }

    /** The timeout counts only where keys must be refused without proof that they still hold. */
    private OptionalLong revocationMilliseconds() {
        if (text("revocation-timeout").isEmpty() || !isTrue("revocation-fail-closed")) {
            return OptionalLong.empty();
        }
        return value("revocation-timeout", RelaySettingsReader::parseMilliseconds)
                .map(OptionalLong::of)
                .orElseGet(OptionalLong::empty);
    }

    /** A mistyped value must not switch a guarantee off. */
    private boolean isTrue(String name) {
        String text = text(name);
        if (!text.isEmpty() && !text.equals("true") && !text.equals("false")) {
            faults.add(new SettingFault(name, text, "true or false"));
        }
        return text.equals("true");
    }

    private String text(String name) {
        return properties.getProperty(name, "").trim();
    }

    private List<String> list(String name) {
        return Arrays.stream(text(name).split(","))
                .map(String::trim)
                .filter(entry -> !entry.isEmpty())
                .toList();
    }

    private Optional<InetSocketAddress> addressOr(
            String name, Optional<InetSocketAddress> otherwise) {
        return text(name).isEmpty() ? otherwise : address(name);
    }

    private Optional<InetSocketAddress> address(String name) {
        return value(name, Addresses::parse);
    }

    private <T> Optional<T> value(String name, Function<String, T> reader) {
        String text = text(name);
        if (text.isEmpty()) {
            faults.add(new SettingFault(name, "", "a value"));
            return Optional.empty();
        }
        try {
            return Optional.of(reader.apply(text));
        } catch (IllegalArgumentException invalid) {
            faults.add(new SettingFault(name, text, invalid.getMessage()));
            return Optional.empty();
        }
    }

    private static long parseMilliseconds(String text) {
        if (text.endsWith("ms")) {
            return Math.round(parseNonNegative(text.substring(0, text.length() - 2)));
        }
        if (text.endsWith("s")) {
            double seconds = parseNonNegative(text.substring(0, text.length() - 1));
            return Math.round(seconds * MILLISECONDS_PER_SECOND);
        }
        throw new IllegalArgumentException("a number that ends with ms or s");
    }

    private static long parseMaxAnswerBytes(String text) {
        long bytes = Math.round(parseNonNegative(text));
        if (bytes < LEAST_MAX_ANSWER_BYTES || bytes > GREATEST_MAX_ANSWER_BYTES) {
            throw new IllegalArgumentException(
                    "a number of bytes from "
                            + LEAST_MAX_ANSWER_BYTES
                            + " to "
                            + GREATEST_MAX_ANSWER_BYTES);
        }
        return bytes;
    }

    private static double parseNonNegative(String text) {
        double number;
        try {
            number = Double.parseDouble(text);
        } catch (NumberFormatException notANumber) {
            throw new IllegalArgumentException(NON_NEGATIVE, notANumber);
        }
        if (!(number >= 0)) {
            throw new IllegalArgumentException(NON_NEGATIVE);
        }
        return number;
    }
}
