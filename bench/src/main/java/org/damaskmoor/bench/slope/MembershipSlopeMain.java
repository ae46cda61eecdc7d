package org.damaskmoor.bench.slope;

/**
 * Prints what the membership protocol costs each node at several sizes of group: one line for each
 * size given as an argument, by default 100, 400, 1000 and 2800. Traffic counts what a node sends,
 * with the headers of IP and UDP.
 */
public final class MembershipSlopeMain {
    private static final int[] DEFAULT_SIZES = {100, 400, 1_000, 2_800};
    private static final long SEED = 11;
    private static final long MEASURED_MILLISECONDS = 60_000;

    private MembershipSlopeMain() {}

    public static void main(String[] arguments) {
        int[] sizes = DEFAULT_SIZES;
        if (arguments.length > 0) {
            sizes = new int[arguments.length];
            for (int i = 0; i < arguments.length; i++) {
                sizes[i] = Integer.parseInt(arguments[i]);
            }
        }
        for (int size : sizes) {
            System.out.println(new MembershipSlope(size, SEED).run(MEASURED_MILLISECONDS).line());
        }
    }
}
