package org.damaskmoor.core.admission.internal;

import org.damaskmoor.core.admission.AdmissionRequest;

/**
 * A request in the queue, ordered by precedence. Immutable and thread-safe.
 *
 * @param request the request
 * @param sequence its position in the order of arrival
 * @param queuedAtNanoseconds time of its arrival
 */
record QueuedRequest(AdmissionRequest request, long sequence, long queuedAtNanoseconds)
        implements Comparable<QueuedRequest> {

    /**
     * The greater request is forwarded first: the more important, then the earlier deadline, then
     * the earlier arrival.
     */
    @Override
    public int compareTo(QueuedRequest other) {
        int byImportance = Integer.compare(request.importance(), other.request.importance());
        if (byImportance != 0) {
            return byImportance;
        }
        long laterDeadline = other.request.deadlineNanoseconds() - request.deadlineNanoseconds();
        if (laterDeadline != 0) {
            return Long.signum(laterDeadline);
        }
        return Long.compare(other.sequence, sequence);
    }
}
