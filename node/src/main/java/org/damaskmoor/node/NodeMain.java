package org.damaskmoor.node;

/** Entry point of the binary damaskmoor-node. */
public final class NodeMain {
    private NodeMain() {}

    public static void main(String[] arguments) {
        System.exit(0);
    }
}
