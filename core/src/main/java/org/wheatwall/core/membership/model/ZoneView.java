package org.wheatwall.core.membership.model;

import java.util.List;
import java.util.Optional;
import org.wheatwall.core.common.Labels;
import org.wheatwall.core.common.Resource;

/**
 * The entry hosts that share the duties of one availability zone. Stored in the log; its version is
 * the epoch. A duty may be carried out only with the agreement of every member of the view, so two
 * views can never act at once.
 *
 * @param members members of this view
 * @param previous members of the view before it
 * @param first whether the zone had no view before
 */
public record ZoneView(Labels labels, List<Member> members, List<Member> previous, boolean first)
    implements Resource {
  /** Copies the lists and applies defaults. */
  public ZoneView {
    labels = labels == null ? Labels.NONE : labels;
    members = List.copyOf(members);
    previous = previous == null ? List.of() : List.copyOf(previous);
  }

  /** Returns the member with this identity. */
  public Optional<Member> member(String id) {
    return members.stream().filter(member -> member.id().equals(id)).findFirst();
  }

  /** Returns the identities of the members. */
  public List<String> memberIds() {
    return members.stream().map(Member::id).toList();
  }

  /** Returns whether some member was in the view before. */
  public boolean continues() {
    return members.stream().anyMatch(previous::contains);
  }
}
