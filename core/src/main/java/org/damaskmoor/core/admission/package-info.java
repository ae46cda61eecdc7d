/**
 * Admission control in front of an upstream: forward, queue or refuse a request.
 *
 * <p>Start at {@link org.damaskmoor.core.admission.AdmissionController}.
 */
package org.damaskmoor.core.admission;
