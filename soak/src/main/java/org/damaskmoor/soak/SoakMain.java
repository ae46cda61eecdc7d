package org.damaskmoor.soak;

import com.github.rvesse.airline.SingleCommand;
import com.github.rvesse.airline.parser.errors.ParseException;

/**
 * Entry point of the binary damaskmoor-soak.
 *
 * <p>Exit codes: what the command returns; 1 when it failed; 2 when its flags are wrong.
 */
public final class SoakMain {
    private static final int FAILED = 1;
    private static final int WRONG_FLAGS = 2;

    private SoakMain() {}

    public static void main(String[] arguments) {
        System.exit(run(arguments));
    }

    private static int run(String[] arguments) {
        try {
            return SingleCommand.singleCommand(SoakCommand.class).parse(arguments).call();
        } catch (ParseException wrong) {
            System.err.println(wrong.getMessage());
            return WRONG_FLAGS;
        } catch (Exception failure) {
            System.err.println("The soak failed: " + failure);
            return FAILED;
        }
    }
}
