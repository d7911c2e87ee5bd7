package org.wheatwall.app;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Optional;
import java.util.concurrent.locks.LockSupport;

/** A caller that sends one request on a connection of its own and reads the response. */
final class OrdinaryCaller {
  // Together the longest deadline that a call may have.
  private static final int ATTEMPTS = 2;
  private static final int ATTEMPT_TIMEOUT_MS = 15_000;

  private static final long PAUSE_NANOS = 200_000_000;

  private OrdinaryCaller() {}

  /** Returns the status line of the response to a GET, repeated once if none comes. */
  static Optional<String> get(int port, String path) {
    return send(port, "GET " + path + " HTTP/1.1\r\nHost: 127.0.0.1\r\nConnection: close\r\n\r\n");
  }

  /** Returns the status line of the response to a request, repeated once if none comes. */
  static Optional<String> send(int port, String... parts) {
    for (int i = 0; i < ATTEMPTS; i++) {
      Optional<String> status = attempt(port, parts);
      if (status.isPresent()) {
        return status;
      }
      LockSupport.parkNanos(PAUSE_NANOS);
    }
    return Optional.empty();
  }

  // Pauses between the parts of the request.
  private static Optional<String> attempt(int port, String... parts) {
    try (Socket socket = new Socket()) {
      socket.connect(
          new InetSocketAddress(InetAddress.getLoopbackAddress(), port), ATTEMPT_TIMEOUT_MS);
      socket.setSoTimeout(ATTEMPT_TIMEOUT_MS);
      OutputStream output = socket.getOutputStream();
      output.write(parts[0].getBytes(StandardCharsets.ISO_8859_1));
      for (int i = 1; i < parts.length; i++) {
        LockSupport.parkNanos(PAUSE_NANOS);
        output.write(parts[i].getBytes(StandardCharsets.ISO_8859_1));
      }
      BufferedReader input =
          new BufferedReader(
              new InputStreamReader(socket.getInputStream(), StandardCharsets.ISO_8859_1));
      return Optional.ofNullable(input.readLine());
    } catch (IOException e) {
      return Optional.empty();
    }
  }
}
