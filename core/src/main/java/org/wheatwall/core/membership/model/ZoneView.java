package org.wheatwall.core.membership.model;

import java.util.List;
import java.util.Optional;
import org.wheatwall.core.common.Labels;
import org.wheatwall.core.common.Resource;

/**
 * The entry hosts that share the duties of one availability zone. Stored in the log; its version is
 * the epoch. A member may act only while every member of the view confirms it, so two views can
 * never act at the same time.
 *
 * @param members members of this view
 * @param previous members of the preceding view
 * @param first whether this is the zone's first view
 */
public record ZoneView(Labels labels, List<Member> members, List<Member> previous, boolean first)
    implements Resource {
  /** Copies the lists and applies defaults. */
  public ZoneView {
    labels = labels == null ? Labels.NONE : labels;
    members = List.copyOf(members);
    previous = previous == null ? List.of() : List.copyOf(previous);
  }

  /** Returns the member with this identity, empty if there is none. */
  public Optional<Member> member(String id) {
    return members.stream().filter(member -> member.id().equals(id)).findFirst();
  }

  /** Returns the identities of the members. */
  public List<String> memberIds() {
    return members.stream().map(Member::id).toList();
  }

  /** Returns whether any member was in the preceding view. */
  public boolean continues() {
    return members.stream().anyMatch(previous::contains);
  }
}
