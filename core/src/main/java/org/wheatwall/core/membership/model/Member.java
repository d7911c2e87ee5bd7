package org.wheatwall.core.membership.model;

import org.wheatwall.core.common.Names;
import org.wheatwall.core.common.Refusal;

/**
 * One entry host process.
 *
 * @param name host name
 * @param incarnation start time of the process, milliseconds since 1970; a replaced host under the
 *     same name and address is another member
 * @param address IP number and port for other entry hosts, {@code a.b.c.d:port}
 */
public record Member(String name, long incarnation, String address) {
  /** Validates. */
  public Member {
    Names.require("entry host", name);
    if (incarnation <= 0 || address == null || address.isEmpty()) {
      throw Refusal.invalid("member " + name + " is incomplete", "give incarnation and address");
    }
  }

  /** Returns what tells this process from every other, earlier ones of the same name included. */
  public String id() {
    return name + "@" + incarnation;
  }
}
