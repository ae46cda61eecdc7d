package org.damaskmoor.operator;

/** Entry point of the binary damaskmoor-operator. */
public final class OperatorMain {
    private OperatorMain() {}

    public static void main(String[] arguments) {
        System.exit(0);
    }
}
