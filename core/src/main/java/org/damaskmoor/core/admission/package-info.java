/**
 * Decisions beside an upstream: hand a request over, let it wait, or refuse it.
 *
 * <p>Start at {@link org.damaskmoor.core.admission.AdmissionController}.
 */
package org.damaskmoor.core.admission;
