package org.damaskmoor.relay.internal.quota;

import java.util.List;
import org.damaskmoor.core.id.TenantName;
import org.damaskmoor.core.quota.ShareGrant;
import org.damaskmoor.core.quota.TenantShare;
import org.damaskmoor.core.quota.TenantUsage;
import org.damaskmoor.core.quota.UsageReport;
import org.damaskmoor.schema.link.QuotaGrant;
import org.damaskmoor.schema.link.QuotaReport;

/**
 * Converts reports and grants to and from messages. Items that are not valid are dropped, so that a
 * peer can't spoil counts. Thread-safe: pure functions.
 */
final class QuotaMessages {
    private QuotaMessages() {}

    static QuotaReport encode(UsageReport report) {
        QuotaReport.Builder message =
                QuotaReport.newBuilder()
                        .setSequence(report.sequence())
                        .setConfigurationVersion(report.configurationVersion());
        for (TenantUsage usage : report.usages()) {
            message.addUsages(
                    org.damaskmoor.schema.link.TenantUsage.newBuilder()
                            .setTenant(usage.tenant().value())
                            .setAdmitted(usage.admitted())
                            .setRefused(usage.refused())
                            .setLimited(usage.limited())
                            .setSharePerSecond(usage.sharePerSecond()));
        }
        return message.build();
    }

    static UsageReport decode(QuotaReport message) {
        List<TenantUsage> usages =
                message.getUsagesList().stream()
                        .filter(usage -> !usage.getTenant().isEmpty())
                        .filter(usage -> usage.getRefused() >= 0)
                        .filter(usage -> isRate(usage.getSharePerSecond()))
                        .map(
                                usage ->
                                        new TenantUsage(
                                                new TenantName(usage.getTenant()),
                                                usage.getAdmitted(),
                                                usage.getRefused(),
                                                usage.getLimited(),
                                                usage.getSharePerSecond()))
                        .toList();
        return new UsageReport(message.getSequence(), message.getConfigurationVersion(), usages);
    }

    static QuotaGrant encode(ShareGrant grant) {
        QuotaGrant.Builder message =
                QuotaGrant.newBuilder()
                        .setReportSequence(grant.reportSequence())
                        .setConfigurationVersion(grant.configurationVersion());
        for (TenantShare share : grant.shares()) {
            message.addShares(
                    org.damaskmoor.schema.link.TenantShare.newBuilder()
                            .setTenant(share.tenant().value())
                            .setLimited(share.limited())
                            .setPerSecond(share.perSecond()));
        }
        return message.build();
    }

    static ShareGrant decode(QuotaGrant message) {
        List<TenantShare> shares =
                message.getSharesList().stream()
                        .filter(share -> !share.getTenant().isEmpty())
                        .filter(share -> isRate(share.getPerSecond()))
                        .map(
                                share ->
                                        new TenantShare(
                                                new TenantName(share.getTenant()),
                                                share.getLimited(),
                                                share.getPerSecond()))
                        .toList();
        return new ShareGrant(
                message.getReportSequence(), message.getConfigurationVersion(), shares);
    }

    private static boolean isRate(double value) {
        return value >= 0 && !Double.isInfinite(value);
    }
}
