package org.damaskmoor.bench.capacity;

import com.github.rvesse.airline.annotations.Command;
import com.github.rvesse.airline.annotations.Option;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.Callable;
import org.damaskmoor.bench.simulation.MembershipSimulation;

/**
 * Measures the slopes that docs/CAPACITY.md works with: what one more member, service, target,
 * caller or call costs a node. One line of key=value pairs for each. Confined to one thread.
 */
@Command(name = "capacity", description = "Measures what one more member or service costs a node.")
public final class CapacityCommand implements Callable<Integer> {
    private static final List<Integer> DEFAULT_MEMBERS = List.of(100, 1_000, 2_800);
    private static final long SEED = 11;
    private static final long MEASURED_MILLISECONDS = 60_000;

    @Option(
            name = "--members",
            description = "Sizes of the group for the membership slope. Default: 100, 1000, 2800.")
    private List<Integer> members = new ArrayList<>();

    @Option(
            name = "--idle-seconds",
            description = "How long an idle node is measured; 0: not at all. Default: 30.")
    private int idleSeconds = 30;

    @Override
    public Integer call() throws Exception {
        if (idleSeconds > 0) {
            System.out.println(IdleNodeMeasurement.measure(Duration.ofSeconds(idleSeconds)));
        }
        System.out.println(StateCosts.directory());
        System.out.println(StateCosts.configuration());
        System.out.println(StateCosts.router());
        System.out.println(StateCosts.ledger());
        System.out.println(StateCosts.refusals());
        for (int size : members.isEmpty() ? DEFAULT_MEMBERS : members) {
            System.out.println(
                    "membership "
                            + new MembershipSimulation(size, SEED)
                                    .run(MEASURED_MILLISECONDS)
                                    .toLine());
        }
        return 0;
    }
}
