package org.damaskmoor.core.evacuation;

import java.util.Collection;
import java.util.HashSet;
import java.util.Set;
import org.damaskmoor.core.id.DataCentreName;

/**
 * Holds which data centres the operator has evacuated, as told by the store and by other nodes.
 *
 * <p>Answers the load pattern of an operator who evacuates and returns a data centre while nodes
 * are partitioned, restarted, or served by a store that was restored: statements arrive late, twice
 * and in any order, and some are of an era of the store whose versions were assigned again.
 *
 * <p>A statement of a later era replaces all that is known; within an era the one with the greater
 * version of the store does. What is known stays in force while the store is away, and after the
 * store has returned from an older copy until its table was read again.
 *
 * <p>Invariants: era and version never decrease together; a statement at a version contains all
 * changes up to it. Not thread-safe.
 */
public final class EvacuationDirectives {
    /** Names above this number are dropped; no fleet has as many data centres. */
    public static final int MAX_DATA_CENTRES = 256;

    private Set<DataCentreName> evacuated = Set.of();
    private long era;
    private long version;
    private boolean known;

    /**
     * The whole table was read, or another node told all that it knows.
     *
     * @param newEra era of the store; 0 if it tells none
     * @param newVersion version of the store up to which all changes are contained
     * @return whether the set of evacuated data centres has changed
     */
    public boolean onStatement(
            long newEra, long newVersion, Collection<DataCentreName> dataCentres) {
        boolean isNewer = newEra > era || (newEra == era && newVersion > version);
        if (known && !isNewer) {
            return false;
        }
        era = newEra;
        version = newVersion;
        known = true;
        return replace(dataCentres);
    }

    /**
     * A row of the store was changed or removed. A change of another era than the one known takes
     * effect, but proves nothing about the other rows, so that the next statement counts.
     *
     * @return whether the set of evacuated data centres has changed
     */
    public boolean onChange(
            long changeEra, long changeVersion, DataCentreName dataCentre, boolean removed) {
        if (changeEra < era || (changeEra == era && changeVersion <= version)) {
            return false;
        }
        if (changeEra == era) {
            version = changeVersion;
        }
        Set<DataCentreName> changed = new HashSet<>(evacuated);
        if (removed) {
            changed.remove(dataCentre);
        } else {
            changed.add(dataCentre);
        }
        return replace(changed);
    }

    private boolean replace(Collection<DataCentreName> dataCentres) {
        Set<DataCentreName> replacement =
                Set.copyOf(dataCentres.stream().limit(MAX_DATA_CENTRES).toList());
        boolean changed = !replacement.equals(evacuated);
        evacuated = replacement;
        return changed;
    }

    /** The evacuated data centres. */
    public Set<DataCentreName> evacuated() {
        return evacuated;
    }

    /** Whether the store or another node has told the whole set at least once. */
    public boolean isKnown() {
        return known;
    }

    /** Era of the store to which {@link #version} belongs; 0 if it tells none. */
    public long era() {
        return era;
    }

    /** Version of the store up to which all changes are contained. */
    public long version() {
        return version;
    }
}
