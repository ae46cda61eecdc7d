package org.damaskmoor.soak;

import com.github.rvesse.airline.SingleCommand;
import com.github.rvesse.airline.parser.errors.ParseException;

/**
 * Entry point of the damaskmoor-soak binary.
 *
 * <p>Exit codes: the exit code of the command; 1 when it threw an exception; 2 for invalid flags.
 */
public final class SoakMain {
    private static final int FAILED = 1;
    private static final int USAGE_ERROR = 2;

    private SoakMain() {}

    public static void main(String[] arguments) {
        System.exit(run(arguments));
    }

    private static int run(String[] arguments) {
        try {
            return SingleCommand.singleCommand(SoakCommand.class).parse(arguments).call();
        } catch (ParseException wrong) {
            System.err.println(wrong.getMessage());
            return USAGE_ERROR;
        } catch (Exception failure) {
            System.err.println("Soak run failed:  " + failure);
            return FAILED;
        }
    }
}
