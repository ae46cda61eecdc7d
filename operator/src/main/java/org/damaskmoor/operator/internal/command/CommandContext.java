package org.damaskmoor.operator.internal.command;

import java.io.InputStream;
import java.io.PrintStream;
import java.util.Map;

/**
 * What surrounds one run of the program.
 *
 * @param environment environment variables
 * @param input standard input
 * @param output standard output: results
 * @param notes standard error: progress and failures
 */
public record CommandContext(
        Map<String, String> environment,
        InputStream input,
        PrintStream output,
        PrintStream notes) {}
