/** Which data centres the operator has evacuated. */
package org.damaskmoor.core.evacuation;
