package org.damaskmoor.bench.load;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.random.RandomGenerator;

/**
 * Plans all requests of an open-loop load in advance, so that slow answers do not slow down the
 * sending.
 *
 * <p>Invariant: the same random numbers give the same schedule. Not thread safe.
 */
public final class Schedule {
    private static final int ITEMS = 1000;

    private final List<RequestKind> kinds;
    private final RandomGenerator random;
    private final String run;
    private final Shares shares;

    /**
     * Shares of special behaviour of callers. Immutable.
     *
     * @param resending share of bookings that are resent after an unknown outcome
     * @param direct share of lookups that are sent directly to an upstream
     */
    public record Shares(double resending, double direct) {
        /** Behaviour of the demo's callers. */
        public static final Shares DEMO = new Shares(0.5, 0.2);

        /** Every request is sent once and through a node. */
        public static final Shares ROUTED_ONCE = new Shares(0, 0);
    }

    /** Creates a schedule with {@link Shares#DEMO}. */
    public Schedule(List<RequestKind> kinds, RandomGenerator random, String run) {
        this(kinds, random, run, Shares.DEMO);
    }

    /**
     * @param run prefix that makes the nonces of this schedule unique
     */
    public Schedule(List<RequestKind> kinds, RandomGenerator random, String run, Shares shares) {
        this.shares = shares;
        this.kinds = List.copyOf(kinds);
        this.random = random;
        this.run = run;
    }

    /** Returns requests with exponentially distributed gaps, ordered by due time. */
    public List<PlannedCall> plan(double requestsPerSecond, double seconds) {
        List<PlannedCall> calls = new ArrayList<>();
        double due = random.nextExponential() / requestsPerSecond;
        while (due < seconds) {
            calls.add(call((long) (due * TimeUnit.SECONDS.toNanos(1)), calls.size()));
            due += random.nextExponential() / requestsPerSecond;
        }
        return calls;
    }

    private PlannedCall call(long dueNanoseconds, int number) {
        RequestKind kind = kind();
        String caller = kind.callers().get(random.nextInt(kind.callers().size()));
        return new PlannedCall(
                dueNanoseconds,
                caller,
                kind.booking(),
                kind.pathPrefix() + "/" + random.nextInt(ITEMS),
                run + "-" + number,
                kind.booking() && random.nextDouble() < shares.resending(),
                !kind.booking() && random.nextDouble() < shares.direct(),
                random.nextInt(Integer.MAX_VALUE));
    }

    private RequestKind kind() {
        double all = kinds.stream().mapToDouble(RequestKind::share).sum();
        double point = random.nextDouble() * all;
        for (RequestKind kind : kinds) {
            point -= kind.share();
            if (point < 0) {
                return kind;
            }
        }
        return kinds.get(kinds.size() - 1);
    }
}
