package org.damaskmoor.bench.capacity;

import com.github.rvesse.airline.annotations.Command;
import com.github.rvesse.airline.annotations.Option;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.Callable;
import org.damaskmoor.bench.simulation.MembershipSimulation;

/**
 * Measures the marginal costs that docs/CAPACITY.md uses: what each additional member, service,
 * target, caller or call costs a node. Prints one line of key=value pairs for each. Confined to one
 * thread.
 */
@Command(
        name = "capacity",
        description = "Measures what each additional member or service costs a node.")
public final class CapacityCommand implements Callable<Integer> {
    private static final List<Integer> DEFAULT_MEMBERS = List.of(100, 1_000, 2_800);
    private static final long SEED = 11;
    private static final long MEASURED_MILLISECONDS = 60_000;

    @Option(
            name = "--members",
            description =
                    "Group size for the membership simulation; may be repeated."
                            + " Default: 100, 1000, 2800.")
    private List<Integer> members = new ArrayList<>();

    @Option(
            name = "--idle-seconds",
            description = "Duration of the measurement of an idle node; 0 skips it. Default: 30.")
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
