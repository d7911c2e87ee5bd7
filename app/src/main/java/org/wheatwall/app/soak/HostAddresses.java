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
 * Addresses of hosts under test. The processes of two soaks that run at the same time have
 * addresses of their own: a port that is free for both would let one soak call the other's hosts.
 */
final class HostAddresses {
  private static final int LOOPBACK = 127;
  private static final int FIRST_HOST = 10;
  private static final int MAX_HOSTS = 200;
  private static final int BYTE_VALUES = 256;
  // The second byte 0 holds the addresses that other programs use.
  private static final int FIRST_NETWORK = 1;
  private static final int NETWORKS = 254;

  private HostAddresses() {}

  /** Returns the loopback address of a host of the soak that runs as a process. */
  static InetAddress of(long processId, int host) {
    if (host < 0 || host >= MAX_HOSTS) {
      throw new IllegalArgumentException("host " + host + " has no address");
    }
    int network = FIRST_NETWORK + (int) (processId / BYTE_VALUES % NETWORKS);
    int third = (int) (processId % BYTE_VALUES);
    byte[] address = {(byte) LOOPBACK, (byte) network, (byte) third, (byte) (FIRST_HOST + host)};
    try {
      return InetAddress.getByAddress(address);
    } catch (UnknownHostException e) {
      throw new UncheckedIOException(e);
    }
  }

  /** Returns addresses with ports that are free now and differ from each other. */
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
