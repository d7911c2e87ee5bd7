package org.wheatwall.app.soak;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.UnknownHostException;
import java.util.ArrayList;
import java.util.List;

/**
 * Loopback addresses of the hosts under test. Soaks that run at the same time use different
 * addresses: with a shared address, both could choose the same free port, and one soak would call
 * the other's hosts.
 */
final class HostAddresses {
  private static final int LOOPBACK = 127;
  private static final int FIRST_HOST = 10;
  private static final int MAX_HOSTS = 200;
  private static final int BYTE_VALUES = 256;
  // Other programs use addresses whose second byte is 0, such as 127.0.0.1.
  private static final int FIRST_NETWORK = 1;
  private static final int NETWORKS = 254;

  private HostAddresses() {}

  /** Returns the loopback address of a host of the soak with the given process ID. */
  static InetAddress of(long processId, int host) {
    if (host < 0 || host >= MAX_HOSTS) {
      throw new IllegalArgumentException("host " + host + " is outside the address range");
    }
    int network = FIRST_NETWORK + (int) (processId / BYTE_VALUES % NETWORKS);
    int thirdByte = (int) (processId % BYTE_VALUES);
    byte[] address = {
      (byte) LOOPBACK, (byte) network, (byte) thirdByte, (byte) (FIRST_HOST + host)
    };
    try {
      return InetAddress.getByAddress(address);
    } catch (UnknownHostException e) {
      throw new UncheckedIOException(e);
    }
  }

  /** Returns {@code count} socket addresses with distinct ports that are free now. */
  static List<InetSocketAddress> withFreePorts(InetAddress address, int count) {
    List<ServerSocket> sockets = new ArrayList<>();
    List<InetSocketAddress> found = new ArrayList<>();
    try {
      for (int i = 0; i < count; i++) {
        ServerSocket socket = new ServerSocket(0, 1, address);
        sockets.add(socket);
        found.add(new InetSocketAddress(address, socket.getLocalPort()));
      }
      for (ServerSocket socket : sockets) {
        socket.close();
      }
    } catch (IOException e) {
      throw new UncheckedIOException("no free port at " + address, e);
    }
    return found;
  }
}
