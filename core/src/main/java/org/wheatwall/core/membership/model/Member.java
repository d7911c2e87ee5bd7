package org.wheatwall.core.membership.model;

import org.wheatwall.core.common.Names;
import org.wheatwall.core.common.Refusal;

/**
 * One entry host process.
 *
 * @param name host name
 * @param incarnation start time of the process, milliseconds since 1970; a replacement host with
 *     the same name and address is a different member
 * @param address IP address and port for other entry hosts, {@code a.b.c.d:port}
 */
public record Member(String name, long incarnation, String address) {
  /** Validates the components. */
  public Member {
    Names.require("entry host", name);
    if (incarnation <= 0 || address == null || address.isEmpty()) {
      throw Refusal.invalid("member " + name + " is incomplete", "give incarnation and address");
    }
  }

  /**
   * Returns the identity of this process, which differs from that of earlier processes of the same
   * name.
   */
  public String id() {
    return name + "@" + incarnation;
  }
}
