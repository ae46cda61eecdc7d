/**
 * Compares load balancing policies: runs real nodes over loopback, one policy after the other,
 * under the same load.
 *
 * <p>Start at {@link org.damaskmoor.bench.experiment.ExperimentCommand}.
 */
package org.damaskmoor.bench.experiment;
