package org.damaskmoor.operator.internal.command;

import java.io.InputStream;
import java.io.PrintStream;
import java.util.Map;

/**
 * Environment variables and standard streams of one run of the program.
 *
 * @param environment environment variables
 * @param input standard input
 * @param output standard output: results
 * @param errorOutput standard error: progress and failures
 */
public record CommandContext(
        Map<String, String> environment,
        InputStream input,
        PrintStream output,
        PrintStream errorOutput) {}
