package org.damaskmoor.soak;

import static org.damaskmoor.soak.verification.DisturbanceLog.Component.CALLERS;
import static org.damaskmoor.soak.verification.DisturbanceLog.Component.LINKS;
import static org.damaskmoor.soak.verification.DisturbanceLog.Component.STORE_LINK;
import static org.damaskmoor.soak.verification.DisturbanceLog.Component.UPSTREAM_LINK;

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
import org.damaskmoor.soak.fault.FaultInjectingProxy;
import org.damaskmoor.soak.fault.FaultInjectingProxy.Mode;
import org.damaskmoor.soak.fault.PlannedFault;
import org.damaskmoor.soak.verification.DisturbanceLog;
import org.damaskmoor.soak.verification.DisturbanceLog.Component;

/**
 * Injects planned faults into the site, each on its own thread, so that faults can overlap.
 *
 * <p>Thread-safe. Invariants: a component has at most one fault at a time; no fault is active after
 * {@link #awaitAll}.
 */
final class FaultExecutor {
    /** Delay of a slow link: one round trip between regions. */
    private static final long DELAY_MILLISECONDS = 60;

    /** Limit for a graceful shutdown: the stop timeout of 6 s and 1 s for the process to exit. */
    private static final long EXIT_TIMEOUT_MILLISECONDS = 7000;

    private static final long READY_TIMEOUT_MILLISECONDS = 15_000;

    private static final double LIMIT_PER_SECOND = 6;

    /** Least time for which a limit is named; the guarantee holds after 4 s. */
    private static final long MIN_LIMIT_MILLISECONDS = 6000;

    /** Least time for which answers are spoiled; most upstreams get few calls a second. */
    private static final long MIN_SPOILED_MILLISECONDS = 3000;

    /** Least time of an evacuation; no request may run after 5 s. */
    private static final long MIN_EVACUATION_MILLISECONDS = 7000;

    /** Longer than any other fault between two starts of an upstream. */
    private static final long CLOCK_STEP_MILLISECONDS = 30_000;

    private final SoakSite site;
    private final DisturbanceLog disturbances;
    private final LongSupplier clock;
    private final Set<String> affected = new HashSet<>();
    private final List<Thread> threads = new ArrayList<>();
    private final Queue<String> violations = new ConcurrentLinkedQueue<>();

    @FunctionalInterface
    private interface Action {
        void run() throws IOException, InterruptedException;
    }

    FaultExecutor(SoakSite site, DisturbanceLog disturbances, LongSupplier clock) {
        this.site = site;
        this.disturbances = disturbances;
        this.clock = clock;
    }

    /** Starts a fault; does nothing if its component already has one. */
    synchronized void start(PlannedFault fault) {
        int relay = fault.subject() % site.nodes().size();
        String component = component(fault, relay);
        if (!affected.add(component)) {
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
        Thread thread = new Thread(() -> run(fault, relay, component), "fault-" + component);
        threads.add(thread);
        thread.start();
    }

    /** Waits until all faults have ended and returns the violations that relays showed in them. */
    List<String> awaitAll() throws InterruptedException {
        List<Thread> started;
        synchronized (this) {
            started = List.copyOf(threads);
        }
        for (Thread thread : started) {
            thread.join();
        }
        return new ArrayList<>(violations);
    }

    private static String component(PlannedFault fault, int relay) {
        return switch (fault.kind()) {
            case KILL_RELAY, PAUSE_RELAY, STOP_RELAY, RELOAD_RELAY -> "relay-" + relay;
            case KILL_UPSTREAM, FREEZE_UPSTREAM, DRAIN_UPSTREAM, LIMIT_UPSTREAM, SET_CLOCK_BACK ->
                    "upstream-" + relay;
            case SPOIL_ANSWERS, STUTTER -> "answers-" + relay;
            case EVACUATE -> "evacuation";
            case STORE_UNAVAILABLE,
                    STORE_SILENT,
                    STORE_LOSES_ANSWERS,
                    STORE_FORGETS_HISTORY,
                    RESTORE_STORE ->
                    "store";
            case DELAY_LINKS, RESET_LINKS, CUT_LINKS_ONE_WAY, SILENCE_LINKS -> "links-" + relay;
            case RESET_STORE_LINK, SILENCE_STORE_LINK -> "store-link-" + relay;
            case RESET_UPSTREAM_LINK, CUT_UPSTREAM_LINK_ONE_WAY -> "upstream-link-" + relay;
            case RESET_CALLERS, DELAY_CALLERS -> "callers-" + relay;
        };
    }

    private void run(PlannedFault fault, int relay, String component) {
        try {
            action(fault, relay).run();
        } catch (IOException failure) {
            violations.add("broken=FAULT_NOT_PLAYED fault=" + fault + " cause=" + failure);
        } catch (InterruptedException interrupted) {
            Thread.currentThread().interrupt();
        } finally {
            synchronized (this) {
                affected.remove(component);
            }
        }
    }

    private Action action(PlannedFault fault, int relay) {
        SoakSite.Node node = site.nodes().get(relay);
        long duration = fault.durationMilliseconds();
        return switch (fault.kind()) {
            case KILL_RELAY -> () -> kill(node, relay, duration);
            case PAUSE_RELAY -> () -> pause(node, relay, duration);
            case STOP_RELAY -> () -> stop(node, relay, duration);
            case RELOAD_RELAY -> () -> reload(node, duration);
            case KILL_UPSTREAM -> () -> killUpstream(node, duration);
            case FREEZE_UPSTREAM -> () -> freezeUpstream(node, duration);
            case DRAIN_UPSTREAM -> () -> drainUpstream(node, duration);
            case STORE_UNAVAILABLE -> () -> disturbStore(StoreStandIn.Mode.UNAVAILABLE, duration);
            case STORE_SILENT -> () -> disturbStore(StoreStandIn.Mode.SILENT, duration);
            case STORE_LOSES_ANSWERS ->
                    () -> disturbStore(StoreStandIn.Mode.ANSWERS_LOST, duration);
            case STORE_FORGETS_HISTORY -> () -> site.store().compact();
            case RESTORE_STORE -> () -> restoreStore(duration);
            case LIMIT_UPSTREAM ->
                    () ->
                            node.upstream()
                                    .nameLimit(LIMIT_PER_SECOND, MIN_LIMIT_MILLISECONDS + duration);
            case SPOIL_ANSWERS -> () -> spoilAnswers(node, duration);
            case STUTTER -> () -> stutter(node, fault.subject(), duration);
            case SET_CLOCK_BACK -> () -> setClockBack(node, duration);
            case EVACUATE -> () -> evacuate(relay, duration);
            case DELAY_LINKS -> () -> disturb(node.linkProxy(), Mode.DELAY, LINKS, relay, duration);
            case RESET_LINKS -> () -> disturb(node.linkProxy(), Mode.RESET, LINKS, relay, duration);
            case CUT_LINKS_ONE_WAY ->
                    () -> disturb(node.linkProxy(), Mode.ONE_WAY, LINKS, relay, duration);
            case SILENCE_LINKS ->
                    () -> disturb(node.linkProxy(), Mode.SILENT, LINKS, relay, duration);
            case RESET_STORE_LINK ->
                    () -> disturb(node.storeProxy(), Mode.RESET, STORE_LINK, relay, duration);
            case SILENCE_STORE_LINK ->
                    () -> disturb(node.storeProxy(), Mode.SILENT, STORE_LINK, relay, duration);
            case RESET_UPSTREAM_LINK ->
                    () -> disturb(node.upstreamProxy(), Mode.RESET, UPSTREAM_LINK, relay, duration);
            case CUT_UPSTREAM_LINK_ONE_WAY ->
                    () ->
                            disturb(
                                    node.upstreamProxy(),
                                    Mode.ONE_WAY,
                                    UPSTREAM_LINK,
                                    relay,
                                    duration);
            case RESET_CALLERS ->
                    () -> disturb(node.callerProxy(), Mode.RESET, CALLERS, relay, duration);
            case DELAY_CALLERS ->
                    () -> disturb(node.callerProxy(), Mode.DELAY, CALLERS, relay, duration);
        };
    }

    private void kill(SoakSite.Node node, int relay, long duration)
            throws IOException, InterruptedException {
        LongConsumer end = disturbances.begin(Component.PROCESS, relay, clock.getAsLong());
        node.process().kill();
        node.process().awaitExit(EXIT_TIMEOUT_MILLISECONDS);
        Thread.sleep(duration);
        restart(node, relay);
        end.accept(clock.getAsLong());
    }

    private void pause(SoakSite.Node node, int relay, long duration) throws InterruptedException {
        LongConsumer end = disturbances.begin(Component.PROCESS, relay, clock.getAsLong());
        node.process().signal("STOP");
        Thread.sleep(duration);
        node.process().signal("CONT");
        end.accept(clock.getAsLong());
    }

    private void stop(SoakSite.Node node, int relay, long duration)
            throws IOException, InterruptedException {
        LongConsumer end = disturbances.begin(Component.PLANNED_STOP, relay, clock.getAsLong());
        long asked = clock.getAsLong();
        node.process().signal("TERM");
        if (!node.process().awaitExit(EXIT_TIMEOUT_MILLISECONDS)) {
            violations.add("broken=STOP_TOO_LONG relay=" + relay + " asked_ms=" + asked);
            node.process().kill();
            node.process().awaitExit(EXIT_TIMEOUT_MILLISECONDS);
        } else if (node.process().exitCode() != 0) {
            violations.add(
                    "broken=STOP_FAILED relay=" + relay + " code=" + node.process().exitCode());
        }
        end.accept(clock.getAsLong());
        LongConsumer down = disturbances.begin(Component.PROCESS, relay, clock.getAsLong());
        Thread.sleep(duration);
        restart(node, relay);
        down.accept(clock.getAsLong());
    }

    private void restart(SoakSite.Node node, int relay) throws IOException, InterruptedException {
        long asked = clock.getAsLong();
        node.process().start();
        if (!site.awaitReady(relay, READY_TIMEOUT_MILLISECONDS)) {
            boolean storeDisturbed =
                    disturbances.overlaps(Component.STORE, 0, asked, clock.getAsLong());
            if (!storeDisturbed) {
                violations.add("broken=NOT_READY relay=" + relay + " asked_ms=" + asked);
            }
        }
    }

    /** Reloads an invalid settings file, which must change nothing, and then the original one. */
    private static void reload(SoakSite.Node node, long duration)
            throws IOException, InterruptedException {
        node.process().writeSettings("node-id=\nlink-address=nowhere\n");
        node.process().signal("HUP");
        Thread.sleep(duration);
        node.process().writeSettings(node.settings());
        node.process().signal("HUP");
    }

    private static void killUpstream(SoakSite.Node node, long duration)
            throws IOException, InterruptedException {
        node.upstream().kill();
        Thread.sleep(duration);
        node.upstream().start();
    }

    private static void freezeUpstream(SoakSite.Node node, long duration)
            throws InterruptedException {
        node.upstream().freeze(true);
        Thread.sleep(duration);
        node.upstream().freeze(false);
    }

    private static void drainUpstream(SoakSite.Node node, long duration)
            throws IOException, InterruptedException {
        node.upstream().startDraining();
        restartDrained(node, duration);
    }

    private static void restartDrained(SoakSite.Node node, long duration)
            throws IOException, InterruptedException {
        Thread.sleep(EXIT_TIMEOUT_MILLISECONDS / 2 + duration);
        node.upstream().kill();
        node.upstream().start();
    }

    private static void spoilAnswers(SoakSite.Node node, long duration)
            throws InterruptedException {
        node.upstream().spoilAnswers(true);
        Thread.sleep(MIN_SPOILED_MILLISECONDS + duration);
        node.upstream().spoilAnswers(false);
    }

    private static void stutter(SoakSite.Node node, long seed, long duration)
            throws InterruptedException {
        node.upstream().startStuttering(seed);
        Thread.sleep(MIN_SPOILED_MILLISECONDS + duration);
        node.upstream().stopStuttering();
    }

    /** Restarts the upstream after its clock was set back, and drains it by announcements only. */
    private static void setClockBack(SoakSite.Node node, long duration)
            throws IOException, InterruptedException {
        node.upstream().kill();
        node.upstream().setClockBack(CLOCK_STEP_MILLISECONDS);
        node.upstream().start();
        Thread.sleep(duration);
        node.upstream().announceDraining();
        restartDrained(node, duration);
    }

    private void evacuate(int relay, long duration) throws InterruptedException {
        site.evacuate(relay);
        Thread.sleep(MIN_EVACUATION_MILLISECONDS + duration);
        site.endEvacuation();
    }

    private void restoreStore(long duration) throws InterruptedException {
        LongConsumer end = disturbances.begin(Component.STORE, 0, clock.getAsLong());
        StoreStandIn.Copy copy = site.olderCopy();
        site.store().setMode(StoreStandIn.Mode.UNAVAILABLE);
        Thread.sleep(duration);
        site.restore(copy);
        site.store().setMode(StoreStandIn.Mode.NORMAL);
        end.accept(clock.getAsLong());
    }

    private void disturbStore(StoreStandIn.Mode mode, long duration) throws InterruptedException {
        LongConsumer end = disturbances.begin(Component.STORE, 0, clock.getAsLong());
        site.store().setMode(mode);
        Thread.sleep(duration);
        site.store().setMode(StoreStandIn.Mode.NORMAL);
        end.accept(clock.getAsLong());
    }

    private void disturb(
            FaultInjectingProxy proxy, Mode mode, Component component, int relay, long duration)
            throws InterruptedException {
        LongConsumer end = disturbances.begin(component, relay, clock.getAsLong());
        proxy.setMode(mode, DELAY_MILLISECONDS);
        Thread.sleep(duration);
        proxy.setMode(Mode.PASS, 0);
        end.accept(clock.getAsLong());
    }
}
