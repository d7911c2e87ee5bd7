package org.wheatwall.entry.request;

import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ThreadLocalRandom;
import org.wheatwall.core.configuration.model.ResourceKind;
import org.wheatwall.core.configuration.model.StoredResource;
import org.wheatwall.core.membership.model.Member;
import org.wheatwall.core.membership.model.ZoneView;
import org.wheatwall.entry.configuration.ConfigurationListener;
import org.wheatwall.entry.membership.ViewLeaseStatus;

/** The views of all zones according to the configuration. */
public final class ZoneViews implements ConfigurationListener {
  private final String ownZone;
  private final Map<String, EpochView> views = new ConcurrentHashMap<>();

  /** A view and its epoch. */
  record EpochView(long epoch, ZoneView view) {}

  /** Creates an empty table for a host of {@code ownZone}. */
  public ZoneViews(String ownZone) {
    this.ownZone = ownZone;
  }

  @Override
  public void onConfigurationChanged(Collection<StoredResource> objects) {
    for (StoredResource stored : objects) {
      if (stored.key().kind() == ResourceKind.VIEWS
          && stored.value().orElse(null) instanceof ZoneView view) {
        views.put(stored.key().name(), new EpochView(stored.version(), view));
      }
    }
  }

  /** Returns the view of a zone, if it is known. */
  Optional<EpochView> view(String zone) {
    return Optional.ofNullable(views.get(zone));
  }

  /** Returns the member that holds a duty in a zone, if the zone's view is known. */
  public Optional<Member> dutyHolder(String zone, String duty) {
    return view(zone).flatMap(entry -> ViewLeaseStatus.dutyHolder(duty, entry.view()));
  }

  /** Returns the address of one random member of each other zone. */
  List<String> randomMembersOfOtherZones() {
    List<String> addresses = new ArrayList<>();
    views.forEach(
        (zone, entry) -> {
          List<Member> members = entry.view().members();
          if (!zone.equals(ownZone) && !members.isEmpty()) {
            int index = ThreadLocalRandom.current().nextInt(members.size());
            addresses.add(members.get(index).address());
          }
        });
    return addresses;
  }
}
