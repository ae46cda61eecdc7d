package org.damaskmoor.node;

import java.time.Instant;
import java.util.logging.ConsoleHandler;
import java.util.logging.Formatter;
import java.util.logging.Level;
import java.util.logging.LogRecord;
import java.util.logging.Logger;

/** Configures logging: one line of key=value pairs per event, on standard error. Stateless. */
final class NodeLogging {
    private static final Logger ROOT = Logger.getLogger("");

    private NodeLogging() {}

    /** Logs events of the given severity and above. */
    static void configure(String level) {
        for (java.util.logging.Handler handler : ROOT.getHandlers()) {
            ROOT.removeHandler(handler);
        }
        ConsoleHandler console = new ConsoleHandler();
        console.setLevel(Level.ALL);
        console.setFormatter(new KeyValueFormatter());
        ROOT.addHandler(console);
        ROOT.setLevel(Level.WARNING);
        Logger.getLogger("org.damaskmoor").setLevel(levelOf(level));
    }

    private static Level levelOf(String level) {
        return switch (level) {
            case "error" -> Level.SEVERE;
            case "warning" -> Level.WARNING;
            case "debug" -> Level.FINE;
            default -> Level.INFO;
        };
    }

    private static final class KeyValueFormatter extends Formatter {
        @Override
        public String format(LogRecord record) {
            String cause =
                    record.getThrown() == null ? "" : " cause=\"" + record.getThrown() + "\"";
            return "time="
                    + Instant.ofEpochMilli(record.getMillis())
                    + " level="
                    + record.getLevel().getName().toLowerCase(java.util.Locale.ROOT)
                    + " "
                    + formatMessage(record)
                    + cause.replace('\n', ' ')
                    + "\n";
        }
    }
}
