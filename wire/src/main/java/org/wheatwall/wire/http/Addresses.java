package org.wheatwall.wire.http;

import io.netty.util.NetUtil;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.UnknownHostException;
import org.wheatwall.core.common.Refusal;

/** Parses and formats addresses of the form {@code a.b.c.d:port}; host names are not resolved. */
public final class Addresses {
  private Addresses() {}

  /**
   * Returns the address; fails with a {@link Refusal} if the text is not an IP address and port.
   */
  public static InetSocketAddress parse(String text) {
    int colon = text == null ? -1 : text.lastIndexOf(':');
    byte[] number =
        colon < 0 ? null : NetUtil.createByteArrayFromIpAddressString(text.substring(0, colon));
    if (number == null) {
      throw malformed(text);
    }
    try {
      int port = Integer.parseInt(text.substring(colon + 1));
      return new InetSocketAddress(InetAddress.getByAddress(number), port);
    } catch (UnknownHostException | IllegalArgumentException e) {
      throw malformed(text);
    }
  }

  /** Returns the text that {@link #parse} reads. */
  public static String text(InetSocketAddress address) {
    return address.getAddress().getHostAddress() + ":" + address.getPort();
  }

  private static Refusal malformed(String text) {
    return Refusal.invalid(
        "\"" + text + "\" is not an address", "write an IP number and a port, as 10.0.0.1:7400");
  }
}
