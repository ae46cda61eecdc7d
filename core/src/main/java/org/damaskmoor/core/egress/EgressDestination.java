package org.damaskmoor.core.egress;

import org.damaskmoor.core.id.DataCentreName;
import org.damaskmoor.core.id.ServiceName;

/** The targets of a service in one other data centre. Immutable and thread-safe. */
public record EgressDestination(ServiceName service, DataCentreName dataCentre) {}
