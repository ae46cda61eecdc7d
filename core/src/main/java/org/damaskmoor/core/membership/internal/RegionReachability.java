package org.damaskmoor.core.membership.internal;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.damaskmoor.core.membership.MemberEvent;
import org.damaskmoor.core.membership.MemberEvent.Kind;
import org.damaskmoor.schema.gossip.Acknowledgement;
import org.damaskmoor.schema.gossip.RegionOpinion;

/**
 * Detects whether other regions are reachable, independently of the failure of single members. For
 * each other region, a few members of the local region are selected by hash as bridges; they probe
 * the region and broadcast their opinions. The region is unreachable when a majority of its bridges
 * say so.
 *
 * <p>Invariant: only the newest opinion of each observer counts, and only while the observer is a
 * bridge. Not thread-safe; used on the protocol thread.
 */
final class RegionReachability {
    private static final long SELECTION_INTERVAL_MILLISECONDS = 2_000;
    private static final long REBROADCAST_INTERVAL_MILLISECONDS = 30_000;

    private final MembershipView view;
    private final Map<String, RegionProber> probers = new HashMap<>();
    private final Map<String, List<Member>> bridges = new HashMap<>();
    private final Map<String, Map<String, RegionOpinion>> opinions = new HashMap<>();
    private final Set<String> unreachable = new HashSet<>();
    private long nextSelectionMilliseconds;
    private long nextRebroadcastMilliseconds;

    RegionReachability(MembershipView view) {
        this.view = view;
    }

    boolean isUnreachable(String region) {
        return unreachable.contains(region);
    }

    /** Regions for which this node is a bridge. */
    Set<String> bridgedRegions() {
        return probers.keySet();
    }

    void tick(long nowMilliseconds) {
        if (nowMilliseconds >= nextSelectionMilliseconds) {
            nextSelectionMilliseconds = nowMilliseconds + SELECTION_INTERVAL_MILLISECONDS;
            selectBridges(nowMilliseconds);
        }
        for (Map.Entry<String, RegionProber> entry : probers.entrySet()) {
            if (entry.getValue().tick(nowMilliseconds)) {
                broadcastOpinion(entry.getKey(), entry.getValue().isUnreachable());
            }
        }
        if (nowMilliseconds >= nextRebroadcastMilliseconds) {
            nextRebroadcastMilliseconds = nowMilliseconds + REBROADCAST_INTERVAL_MILLISECONDS;
            rebroadcastOpinions();
        }
    }

    private void selectBridges(long nowMilliseconds) {
        for (String region : view.table.regions()) {
            if (region.equals(view.region()) || view.table.presentIn(region).isEmpty()) {
                bridges.remove(region);
                probers.remove(region);
                continue;
            }
            List<Member> selected = select(region);
            bridges.put(region, selected);
            if (selected.stream().anyMatch(member -> view.isSelf(member.id()))) {
                probers.computeIfAbsent(
                        region, name -> new RegionProber(view, name, nowMilliseconds));
            } else {
                probers.remove(region);
            }
            evaluate(region);
        }
        view.disseminator.setBridgedRegions(probers.keySet());
    }

    private List<Member> select(String region) {
        Comparator<Member> byHash = Comparator.comparingLong(member -> hash(member, region));
        List<Member> selected = new ArrayList<>();
        for (Member member : view.table.presentIn(view.region())) {
            selected.add(member);
            if (selected.size() > view.settings.bridges()) {
                selected.sort(byHash);
                selected.remove(selected.size() - 1);
            }
        }
        return selected;
    }

    private static long hash(Member member, String region) {
        return RecordOrder.mix(member.id().hashCode() * 31L + region.hashCode());
    }

    /** Processes the answer to a probe of another region. */
    void onAcknowledgement(Acknowledgement acknowledgement) {
        for (Map.Entry<String, RegionProber> entry : probers.entrySet()) {
            if (entry.getValue().onAcknowledgement(acknowledgement.getOfSequence())) {
                broadcastOpinion(entry.getKey(), entry.getValue().isUnreachable());
            }
        }
    }

    /**
     * Cancels the current probes after a pause of this process, because missing answers may be due
     * to the pause.
     */
    void cancelProbes() {
        probers.values().forEach(RegionProber::cancelProbe);
    }

    private void broadcastOpinion(String region, boolean isUnreachable) {
        RegionOpinion previous = opinionsOn(region).get(view.self.getNodeId());
        int version = previous == null ? 1 : previous.getVersion() + 1;
        RegionOpinion opinion =
                RegionOpinion.newBuilder()
                        .setRegion(region)
                        .setObserver(view.self.getNodeId())
                        .setObserverIncarnation(view.self.getIncarnation())
                        .setVersion(version)
                        .setUnreachable(isUnreachable)
                        .build();
        mergeOpinion(opinion);
    }

    private void rebroadcastOpinions() {
        for (String region : probers.keySet()) {
            RegionOpinion own = opinionsOn(region).get(view.self.getNodeId());
            if (own != null) {
                view.disseminator.add(own);
            }
        }
    }

    /** Merges an opinion, which may be this node's own, and broadcasts it when it is new. */
    void mergeOpinion(RegionOpinion opinion) {
        RegionOpinion known = opinionsOn(opinion.getRegion()).get(opinion.getObserver());
        if (known != null && !isNewer(opinion, known)) {
            return;
        }
        opinionsOn(opinion.getRegion()).put(opinion.getObserver(), opinion);
        view.disseminator.add(opinion);
        evaluate(opinion.getRegion());
    }

    private static boolean isNewer(RegionOpinion opinion, RegionOpinion known) {
        int order = Long.compare(opinion.getObserverIncarnation(), known.getObserverIncarnation());
        return order > 0 || (order == 0 && opinion.getVersion() > known.getVersion());
    }

    private Map<String, RegionOpinion> opinionsOn(String region) {
        return opinions.computeIfAbsent(region, name -> new HashMap<>());
    }

    private void evaluate(String region) {
        List<Member> observers = bridges.getOrDefault(region, List.of());
        long unreachableVotes =
                observers.stream().filter(each -> saysUnreachable(each, region)).count();
        boolean majority = unreachableVotes * 2 > observers.size();
        if (majority && unreachable.add(region)) {
            view.publish(MemberEvent.ofRegion(Kind.REGION_UNREACHABLE, region));
        } else if (!majority && unreachable.remove(region)) {
            view.publish(MemberEvent.ofRegion(Kind.REGION_REACHABLE, region));
        }
    }

    private boolean saysUnreachable(Member observer, String region) {
        RegionOpinion opinion = opinionsOn(region).get(observer.id());
        return opinion != null
                && opinion.getObserverIncarnation() == observer.record.getIncarnation()
                && opinion.getUnreachable();
    }
}
