package org.wheatwall.app.soak;

import java.io.BufferedReader;
import java.io.BufferedWriter;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.charset.StandardCharsets;

/**
 * Sends signals to processes through one shell. Starting a program for each signal would take more
 * processor time than the processes under test.
 */
final class SignalSender implements AutoCloseable {
  private final Process shell;
  private final BufferedWriter commands;
  private final BufferedReader replies;

  SignalSender() {
    try {
      shell = new ProcessBuilder("sh").redirectError(ProcessBuilder.Redirect.DISCARD).start();
    } catch (IOException e) {
      throw new UncheckedIOException("the shell that sends signals cannot be started", e);
    }
    commands = shell.outputWriter(StandardCharsets.US_ASCII);
    replies = shell.inputReader(StandardCharsets.US_ASCII);
  }

  /** Sends a signal by name, such as STOP, and returns once it is sent. */
  synchronized void send(String name, long processId) {
    try {
      commands.write("kill -" + name + " " + processId + "; echo\n");
      commands.flush();
      replies.readLine();
    } catch (IOException e) {
      throw new UncheckedIOException("signal " + name + " cannot be sent", e);
    }
  }

  @Override
  public void close() {
    shell.destroy();
  }
}
