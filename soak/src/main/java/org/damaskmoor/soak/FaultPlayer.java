package org.damaskmoor.soak;

import java.io.IOException;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Queue;
import java.util.Set;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.function.LongConsumer;
import java.util.function.LongSupplier;
import org.damaskmoor.platform.standin.StoreStandIn;
import org.damaskmoor.soak.fault.FaultyLink;
import org.damaskmoor.soak.fault.FaultyLink.Mode;
import org.damaskmoor.soak.fault.PlannedFault;
import org.damaskmoor.soak.promise.Disturbances;
import org.damaskmoor.soak.promise.Disturbances.Part;

/**
 * Carries out faults, each on a thread of its own, so that they overlap.
 *
 * <p>Thread-safe. Invariants: a part of the system has one fault at a time; after {@link #await}
 * all faults have ended.
 */
final class FaultPlayer {
    /** Delay of a slow link: a round trip between regions. */
    private static final long DELAY_MILLISECONDS = 60;

    /** Time that a planned stop may take, with one second for the end of the process. */
    private static final long STOP_MILLISECONDS = 7000;

    private static final long READY_MILLISECONDS = 15_000;

    private final SoakSite site;
    private final Disturbances disturbances;
    private final LongSupplier clock;
    private final Set<String> busy = new HashSet<>();
    private final List<Thread> threads = new ArrayList<>();
    private final Queue<String> broken = new ConcurrentLinkedQueue<>();

    @FunctionalInterface
    private interface Action {
        void run() throws IOException, InterruptedException;
    }

    FaultPlayer(SoakSite site, Disturbances disturbances, LongSupplier clock) {
        this.site = site;
        this.disturbances = disturbances;
        this.clock = clock;
    }

    /** Begins a fault, unless its part of the system has one already. */
    synchronized void play(PlannedFault fault) {
        int relay = fault.subject() % site.nodes().size();
        String part = part(fault, relay);
        if (!busy.add(part)) {
            return;
        }
        System.out.println(
                clock.getAsLong()
                        + " ms  "
                        + fault.kind()
                        + " relay-"
                        + relay
                        + " for "
                        + fault.durationMilliseconds()
                        + " ms");
        Thread thread = new Thread(() -> run(fault, relay, part), "fault-" + part);
        threads.add(thread);
        thread.start();
    }

    /** Waits until all faults have ended; returns what relays did wrong in them. */
    List<String> await() throws InterruptedException {
        List<Thread> started;
        synchronized (this) {
            started = List.copyOf(threads);
        }
        for (Thread thread : started) {
            thread.join();
        }
        return new ArrayList<>(broken);
    }

    private static String part(PlannedFault fault, int relay) {
        return switch (fault.kind()) {
            case KILL_RELAY, PAUSE_RELAY, STOP_RELAY, RELOAD_RELAY -> "relay-" + relay;
            case KILL_UPSTREAM, FREEZE_UPSTREAM, DRAIN_UPSTREAM -> "upstream-" + relay;
            case STORE_UNAVAILABLE, STORE_SILENT, STORE_LOSES_ANSWERS, STORE_FORGETS_HISTORY ->
                    "store";
            case DELAY_LINKS, RESET_LINKS, CUT_LINKS_ONE_WAY, SILENCE_LINKS -> "links-" + relay;
            case RESET_STORE_LINK, SILENCE_STORE_LINK -> "store-link-" + relay;
            case RESET_UPSTREAM_LINK, CUT_UPSTREAM_LINK_ONE_WAY -> "upstream-link-" + relay;
            case RESET_CALLERS, DELAY_CALLERS -> "callers-" + relay;
        };
    }

    private void run(PlannedFault fault, int relay, String part) {
        try {
            action(fault, relay).run();
        } catch (IOException failure) {
            broken.add("broken=FAULT_NOT_PLAYED fault=" + fault + " cause=" + failure);
        } catch (InterruptedException interrupted) {
            Thread.currentThread().interrupt();
        } finally {
            synchronized (this) {
                busy.remove(part);
            }
        }
    }

    private Action action(PlannedFault fault, int relay) {
        SoakSite.Node node = site.nodes().get(relay);
        long lasting = fault.durationMilliseconds();
        return switch (fault.kind()) {
            case KILL_RELAY -> () -> kill(node, relay, lasting);
            case PAUSE_RELAY -> () -> pause(node, relay, lasting);
            case STOP_RELAY -> () -> stop(node, relay, lasting);
            case RELOAD_RELAY -> () -> reload(node, lasting);
            case KILL_UPSTREAM -> () -> killUpstream(node, lasting);
            case FREEZE_UPSTREAM -> () -> freezeUpstream(node, lasting);
            case DRAIN_UPSTREAM -> () -> drainUpstream(node, lasting);
            case STORE_UNAVAILABLE -> () -> store(StoreStandIn.Mode.UNAVAILABLE, lasting);
            case STORE_SILENT -> () -> store(StoreStandIn.Mode.SILENT, lasting);
            case STORE_LOSES_ANSWERS -> () -> store(StoreStandIn.Mode.ANSWERS_LOST, lasting);
            case STORE_FORGETS_HISTORY -> () -> site.store().compact();
            case DELAY_LINKS -> () -> link(node.links(), Mode.DELAY, Part.LINKS, relay, lasting);
            case RESET_LINKS -> () -> link(node.links(), Mode.RESET, Part.LINKS, relay, lasting);
            case CUT_LINKS_ONE_WAY ->
                    () -> link(node.links(), Mode.ONE_WAY, Part.LINKS, relay, lasting);
            case SILENCE_LINKS -> () -> link(node.links(), Mode.SILENT, Part.LINKS, relay, lasting);
            case RESET_STORE_LINK ->
                    () -> link(node.storeLink(), Mode.RESET, Part.STORE_LINK, relay, lasting);
            case SILENCE_STORE_LINK ->
                    () -> link(node.storeLink(), Mode.SILENT, Part.STORE_LINK, relay, lasting);
            case RESET_UPSTREAM_LINK ->
                    () -> link(node.upstreamLink(), Mode.RESET, Part.UPSTREAM_LINK, relay, lasting);
            case CUT_UPSTREAM_LINK_ONE_WAY ->
                    () ->
                            link(
                                    node.upstreamLink(),
                                    Mode.ONE_WAY,
                                    Part.UPSTREAM_LINK,
                                    relay,
                                    lasting);
            case RESET_CALLERS ->
                    () -> link(node.callers(), Mode.RESET, Part.CALLERS, relay, lasting);
            case DELAY_CALLERS ->
                    () -> link(node.callers(), Mode.DELAY, Part.CALLERS, relay, lasting);
        };
    }

    private void kill(SoakSite.Node node, int relay, long lasting)
            throws IOException, InterruptedException {
        LongConsumer end = disturbances.begin(Part.PROCESS, relay, clock.getAsLong());
        node.process().kill();
        node.process().awaitEnd(STOP_MILLISECONDS);
        Thread.sleep(lasting);
        startAgain(node, relay);
        end.accept(clock.getAsLong());
    }

    private void pause(SoakSite.Node node, int relay, long lasting) throws InterruptedException {
        LongConsumer end = disturbances.begin(Part.PROCESS, relay, clock.getAsLong());
        node.process().signal("STOP");
        Thread.sleep(lasting);
        node.process().signal("CONT");
        end.accept(clock.getAsLong());
    }

    private void stop(SoakSite.Node node, int relay, long lasting)
            throws IOException, InterruptedException {
        LongConsumer end = disturbances.begin(Part.PLANNED_STOP, relay, clock.getAsLong());
        long asked = clock.getAsLong();
        node.process().signal("TERM");
        if (!node.process().awaitEnd(STOP_MILLISECONDS)) {
            broken.add("broken=STOP_TOO_LONG relay=" + relay + " asked_ms=" + asked);
            node.process().kill();
            node.process().awaitEnd(STOP_MILLISECONDS);
        } else if (node.process().exitCode() != 0) {
            broken.add("broken=STOP_FAILED relay=" + relay + " code=" + node.process().exitCode());
        }
        end.accept(clock.getAsLong());
        LongConsumer gone = disturbances.begin(Part.PROCESS, relay, clock.getAsLong());
        Thread.sleep(lasting);
        startAgain(node, relay);
        gone.accept(clock.getAsLong());
    }

    private void startAgain(SoakSite.Node node, int relay)
            throws IOException, InterruptedException {
        long asked = clock.getAsLong();
        node.process().start();
        if (!site.awaitReady(relay, READY_MILLISECONDS)) {
            boolean storeWasAway = disturbances.any(Part.STORE, 0, asked, clock.getAsLong());
            if (!storeWasAway) {
                broken.add("broken=NOT_READY relay=" + relay + " asked_ms=" + asked);
            }
        }
    }

    /** A settings file that can't be used is to change nothing; then the good one comes back. */
    private static void reload(SoakSite.Node node, long lasting)
            throws IOException, InterruptedException {
        node.process().writeSettings("node-id=\nlink-address=nowhere\n");
        node.process().signal("HUP");
        Thread.sleep(lasting);
        node.process().writeSettings(node.settings());
        node.process().signal("HUP");
    }

    private static void killUpstream(SoakSite.Node node, long lasting)
            throws IOException, InterruptedException {
        node.upstream().kill();
        Thread.sleep(lasting);
        node.upstream().start();
    }

    private static void freezeUpstream(SoakSite.Node node, long lasting)
            throws InterruptedException {
        node.upstream().freeze(true);
        Thread.sleep(lasting);
        node.upstream().freeze(false);
    }

    private static void drainUpstream(SoakSite.Node node, long lasting)
            throws IOException, InterruptedException {
        node.upstream().leave();
        Thread.sleep(STOP_MILLISECONDS / 2 + lasting);
        node.upstream().kill();
        node.upstream().start();
    }

    private void store(StoreStandIn.Mode mode, long lasting) throws InterruptedException {
        LongConsumer end = disturbances.begin(Part.STORE, 0, clock.getAsLong());
        site.store().setMode(mode);
        Thread.sleep(lasting);
        site.store().setMode(StoreStandIn.Mode.NORMAL);
        end.accept(clock.getAsLong());
    }

    private void link(FaultyLink link, Mode mode, Part part, int relay, long lasting)
            throws InterruptedException {
        LongConsumer end = disturbances.begin(part, relay, clock.getAsLong());
        link.mode(mode, DELAY_MILLISECONDS);
        Thread.sleep(lasting);
        link.mode(Mode.PASS, 0);
        end.accept(clock.getAsLong());
    }
}
