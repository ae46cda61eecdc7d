/**
 * Value types for the ids of nodes, services, callers and requests.
 *
 * <p>Ids are keys of maps from the first request on. They define equality themselves, because the
 * generated methods of a record are linked by method handles, which takes processor time that a new
 * process does not have.
 */
package org.damaskmoor.core.id;
