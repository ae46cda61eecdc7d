import java.util.ArrayList;
import java.util.Arrays;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import java.util.Random;
import java.util.TreeMap;
import org.damaskmoor.core.id.ServiceName;
import org.damaskmoor.core.upstream.UpstreamAnnouncement;
import org.damaskmoor.core.upstream.UpstreamId;
import org.damaskmoor.core.upstream.UpstreamTracker;
import org.damaskmoor.core.upstream.UpstreamTracker.Change;

/**
 * Searches orders of beats, restarts and leaves in which a backend still gets calls after the
 * relay beside it has acknowledged that it leaves. No case: it uses UpstreamTracker alone. Prints
 * one order for each number of late beats, with and without a restart of the relay.
 *
 * <pre>{@code
 * mvn -q -B -ntp -DskipTests package
 * javac -cp core/target/classes -d target/extra-3 review/extra-3/TrackerOrders.java
 * java -cp core/target/classes:target/extra-3 TrackerOrders
 * }</pre>
 */
final class TrackerOrders {
    private static final int SEEDS = 400_000;
    private static final int BEAT = 1500;
    private static final int DRAIN = 2500;
    private static final int MAX_LATE = 3;

    /** A message of one lifetime of the backend, by the time at which it arrives. */
    private record Message(
            long at, int life, long sequence, boolean draining, boolean leaves, boolean late) {}

    private final Random random;
    private final int lives;
    private final boolean sameId;
    private final boolean deregisters;
    private final List<Message> messages = new ArrayList<>();
    private final long[] starts;
    private final long[] ends;
    private long leavesAt;
    private int late;

    private TrackerOrders(long seed) {
        random = new Random(seed);
        lives = 1 + random.nextInt(3);
        sameId = random.nextInt(3) > 0;
        deregisters = random.nextBoolean();
        starts = new long[lives];
        ends = new long[lives];
        long time = 0;
        for (int life = 0; life < lives; life++) {
            time = addLife(life, time);
        }
        messages.sort(Comparator.comparingLong(Message::at));
    }

    private long addLife(int life, long time) {
        boolean last = life == lives - 1;
        long length = 1000 + random.nextInt(8000);
        if (last) {
            leavesAt = time + length;
            length += 12_000;
        }
        starts[life] = time;
        ends[life] = time + length;
        long sequence = 0;
        for (long beat = time; beat < time + length; beat += BEAT) {
            boolean leaving = last && beat >= leavesAt;
            if (leaving && deregisters) {
                break;
            }
            sequence++;
            boolean isLate = random.nextInt(12) == 0 && late < MAX_LATE && !leaving;
            late += isLate ? 1 : 0;
            long arrives = beat + (isLate ? 1000 + random.nextInt(6000) : 1);
            messages.add(new Message(arrives, life, sequence, leaving, false, isLate));
        }
        if (last && deregisters) {
            messages.add(new Message(leavesAt, life, 0, false, true, false));
        }
        return time + length + 300 + random.nextInt(1500);
    }

    private UpstreamId id(int life) {
        return new UpstreamId(sameId ? "i" : "i-" + life);
    }

    private long born(int life) {
        return 1_000_000 + starts[life];
    }

    /** Whether the last lifetime gets calls later than the drain time after an ack of its leaving. */
    private boolean isBroken(long restartAt) {
        int last = lives - 1;
        UpstreamTracker tracker = new UpstreamTracker(DRAIN);
        boolean stored = false;
        long acknowledgedAt = -1;
        boolean restarted = false;
        int next = 0;
        for (long now = 0; now < ends[last]; now += 50) {
            if (restartAt >= 0 && !restarted && now >= restartAt) {
                restarted = true;
                tracker = new UpstreamTracker(DRAIN);
                if (stored) {
                    tracker.restoreDeparture(id(last), born(last), now);
                }
            }
            while (next < messages.size() && messages.get(next).at() <= now) {
                Message message = messages.get(next++);
                Change change = deliver(tracker, message, now);
                boolean tellsLeaving = message.leaves() || message.draining();
                stored |= tellsLeaving && change == Change.LEAVING;
                if (tellsLeaving && change != Change.UNCONFIRMED && acknowledgedAt < 0) {
                    acknowledgedAt = now;
                }
            }
            boolean late = acknowledgedAt >= 0 && now > acknowledgedAt + DRAIN + 100;
            if (late && tracker.acceptsCalls() && isFor(tracker, last)) {
                return true;
            }
        }
        return false;
    }

    private boolean isFor(UpstreamTracker tracker, int life) {
        return tracker.current().orElseThrow().id().equals(id(life));
    }

    private Change deliver(UpstreamTracker tracker, Message message, long now) {
        int life = message.life();
        if (message.leaves()) {
            return tracker.onLeave(id(life), OptionalLong.of(born(life)), now);
        }
        return tracker.onAnnouncement(
                new UpstreamAnnouncement(
                        id(life),
                        new ServiceName("s"),
                        born(life),
                        message.sequence(),
                        4,
                        message.draining(),
                        UpstreamAnnouncement.COLD_NOT_TOLD),
                now);
    }

    public static void main(String[] arguments) {
        Map<String, Integer> counts = new TreeMap<>();
        Map<String, String> examples = new TreeMap<>();
        for (int seed = 0; seed < SEEDS; seed++) {
            TrackerOrders orders = new TrackerOrders(seed);
            boolean restarts = orders.random.nextInt(3) == 0;
            long restartAt =
                    restarts
                            ? (long) (orders.random.nextDouble() * orders.ends[orders.lives - 1])
                            : -1;
            if (orders.isBroken(restartAt)) {
                String kind = orders.late + " late, " + (restarts ? "restart" : "no restart");
                counts.merge(kind, 1, Integer::sum);
                examples.putIfAbsent(kind, orders.describe(seed, restartAt));
            }
        }
        counts.forEach(
                (kind, count) ->
                        System.out.println(kind + ": " + count + ", " + examples.get(kind)));
    }

    private String describe(long seed, long restartAt) {
        return "seed "
                + seed
                + ", starts "
                + Arrays.toString(starts)
                + ", leaves at "
                + leavesAt
                + ", relay restarts at "
                + restartAt
                + ", "
                + messages.stream().filter(one -> one.late() || one.leaves()).toList();
    }
}
