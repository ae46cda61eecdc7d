/** Decides how fast calls start on an upstream that has just started. */
package org.damaskmoor.core.warmup;
