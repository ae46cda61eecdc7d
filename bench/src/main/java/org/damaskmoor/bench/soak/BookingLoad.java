package org.damaskmoor.bench.soak;

import java.util.ArrayList;
import java.util.List;
import java.util.random.RandomGenerator;
import org.damaskmoor.bench.load.PlannedCall;
import org.damaskmoor.bench.load.RequestKind;
import org.damaskmoor.bench.load.Schedule;

/**
 * Plans a load of 80 % bookings and 20 % lookups.
 *
 * <p>Invariant: the same random numbers give the same load. Not thread safe.
 */
final class BookingLoad {
    private static final double BOOKING_SHARE = 0.8;
    private static final double DURATION_MARGIN = 1.1;

    private final List<RequestKind> kinds;
    private final RandomGenerator random;
    private final String run;

    BookingLoad(List<RequestKind> kinds, RandomGenerator random, String run) {
        this.kinds = kinds;
        this.random = random;
        this.run = run;
    }

    /**
     * Returns calls with exactly the given number of bookings, spread over about the given time.
     */
    List<PlannedCall> plan(int bookings, double seconds) {
        double rate = bookings / BOOKING_SHARE / seconds;
        List<PlannedCall> calls =
                new Schedule(weighted(), random, run, Schedule.Shares.DEMO)
                        .plan(rate, seconds * DURATION_MARGIN + 1);
        List<PlannedCall> planned = new ArrayList<>();
        int booked = 0;
        for (PlannedCall call : calls) {
            if (booked == bookings) {
                return planned;
            }
            planned.add(call);
            booked += call.booking() ? 1 : 0;
        }
        throw new IllegalStateException("only " + booked + " bookings planned");
    }

    private List<RequestKind> weighted() {
        double bookings = sum(true);
        double lookups = sum(false);
        return kinds.stream().map(kind -> weighted(kind, bookings, lookups)).toList();
    }

    private static RequestKind weighted(RequestKind kind, double bookings, double lookups) {
        double share =
                kind.booking()
                        ? kind.share() / bookings * BOOKING_SHARE
                        : kind.share() / lookups * (1 - BOOKING_SHARE);
        return new RequestKind(share, kind.pathPrefix(), kind.booking(), kind.callers());
    }

    private double sum(boolean booking) {
        return kinds.stream()
                .filter(kind -> kind.booking() == booking)
                .mapToDouble(RequestKind::share)
                .sum();
    }
}
