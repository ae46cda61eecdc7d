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
 * Reachability of other regions, apart from the death of members. For each other region a few
 * members, found by hash and not elected, probe it and tell their opinion; the region is
 * unreachable when most of them say so.
 *
 * <p>Invariant: of each observer only the newest opinion counts, and only while it bridges.
 * Confined to the thread that drives the protocol.
 */
final class RegionReachability {
    private static final long CHOICE_INTERVAL_MILLISECONDS = 2_000;
    private static final long REPEAT_INTERVAL_MILLISECONDS = 30_000;

    private final MembershipView group;
    private final Map<String, RegionProber> bridged = new HashMap<>();
    private final Map<String, List<Member>> bridges = new HashMap<>();
    private final Map<String, Map<String, RegionOpinion>> opinions = new HashMap<>();
    private final Set<String> unreachable = new HashSet<>();
    private long nextChoiceMilliseconds;
    private long nextRepeatMilliseconds;

    RegionReachability(MembershipView group) {
        this.group = group;
    }

    boolean isUnreachable(String region) {
        return unreachable.contains(region);
    }

    /** Regions that this node bridges to. */
    Set<String> bridgedRegions() {
        return bridged.keySet();
    }

    void tick(long nowMilliseconds) {
        if (nowMilliseconds >= nextChoiceMilliseconds) {
            nextChoiceMilliseconds = nowMilliseconds + CHOICE_INTERVAL_MILLISECONDS;
            chooseBridges(nowMilliseconds);
        }
        for (Map.Entry<String, RegionProber> entry : bridged.entrySet()) {
            if (entry.getValue().tick(nowMilliseconds)) {
                tellOpinion(entry.getKey(), entry.getValue().isUnreachable());
            }
        }
        if (nowMilliseconds >= nextRepeatMilliseconds) {
            nextRepeatMilliseconds = nowMilliseconds + REPEAT_INTERVAL_MILLISECONDS;
            repeatOpinions();
        }
    }

    private void chooseBridges(long nowMilliseconds) {
        for (String region : group.table.regions()) {
            if (region.equals(group.region()) || group.table.presentIn(region).isEmpty()) {
                bridges.remove(region);
                bridged.remove(region);
                continue;
            }
            List<Member> chosen = choose(region);
            bridges.put(region, chosen);
            if (chosen.stream().anyMatch(member -> group.isSelf(member.id()))) {
                bridged.computeIfAbsent(
                        region, name -> new RegionProber(group, name, nowMilliseconds));
            } else {
                bridged.remove(region);
            }
            judge(region);
        }
        group.spread.setBridgedRegions(bridged.keySet());
    }

    private List<Member> choose(String region) {
        Comparator<Member> byHash = Comparator.comparingLong(member -> hash(member, region));
        List<Member> chosen = new ArrayList<>();
        for (Member member : group.table.presentIn(group.region())) {
            chosen.add(member);
            if (chosen.size() > group.settings.bridges()) {
                chosen.sort(byHash);
                chosen.remove(chosen.size() - 1);
            }
        }
        return chosen;
    }

    private static long hash(Member member, String region) {
        return RecordOrder.mix(member.id().hashCode() * 31L + region.hashCode());
    }

    /** Takes in the answer to a probe of another region. */
    void onAcknowledgement(Acknowledgement acknowledgement) {
        for (Map.Entry<String, RegionProber> entry : bridged.entrySet()) {
            if (entry.getValue().onAcknowledgement(acknowledgement.getOfSequence())) {
                tellOpinion(entry.getKey(), entry.getValue().isUnreachable());
            }
        }
    }

    /** Drops the probes under way: this node stood still, so their silence says nothing. */
    void cancelProbes() {
        bridged.values().forEach(RegionProber::cancelProbe);
    }

    private void tellOpinion(String region, boolean isUnreachable) {
        RegionOpinion former = opinionsOn(region).get(group.self.getNodeId());
        int version = former == null ? 1 : former.getVersion() + 1;
        RegionOpinion opinion =
                RegionOpinion.newBuilder()
                        .setRegion(region)
                        .setObserver(group.self.getNodeId())
                        .setObserverIncarnation(group.self.getIncarnation())
                        .setVersion(version)
                        .setUnreachable(isUnreachable)
                        .build();
        mergeOpinion(opinion);
    }

    private void repeatOpinions() {
        for (String region : bridged.keySet()) {
            RegionOpinion own = opinionsOn(region).get(group.self.getNodeId());
            if (own != null) {
                group.spread.add(own);
            }
        }
    }

    /** Takes in an opinion, also from this node itself, and tells it onwards when it is new. */
    void mergeOpinion(RegionOpinion opinion) {
        RegionOpinion known = opinionsOn(opinion.getRegion()).get(opinion.getObserver());
        if (known != null && !isNewer(opinion, known)) {
            return;
        }
        opinionsOn(opinion.getRegion()).put(opinion.getObserver(), opinion);
        group.spread.add(opinion);
        judge(opinion.getRegion());
    }

    private static boolean isNewer(RegionOpinion opinion, RegionOpinion known) {
        int order = Long.compare(opinion.getObserverIncarnation(), known.getObserverIncarnation());
        return order > 0 || (order == 0 && opinion.getVersion() > known.getVersion());
    }

    private Map<String, RegionOpinion> opinionsOn(String region) {
        return opinions.computeIfAbsent(region, name -> new HashMap<>());
    }

    private void judge(String region) {
        List<Member> observers = bridges.getOrDefault(region, List.of());
        long against = observers.stream().filter(each -> saysUnreachable(each, region)).count();
        boolean verdict = against * 2 > observers.size();
        if (verdict && unreachable.add(region)) {
            group.publish(MemberEvent.ofRegion(Kind.REGION_UNREACHABLE, region));
        } else if (!verdict && unreachable.remove(region)) {
            group.publish(MemberEvent.ofRegion(Kind.REGION_REACHABLE, region));
        }
    }

    private boolean saysUnreachable(Member observer, String region) {
        RegionOpinion opinion = opinionsOn(region).get(observer.id());
        return opinion != null
                && opinion.getObserverIncarnation() == observer.record.getIncarnation()
                && opinion.getUnreachable();
    }
}
