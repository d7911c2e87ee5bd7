package org.wheatwall.core.job.policy;

import static com.google.common.truth.Truth.assertThat;

import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.Test;
import org.wheatwall.core.common.Labels;
import org.wheatwall.core.job.decision.Cluster;
import org.wheatwall.core.job.model.Adjacency;
import org.wheatwall.core.job.model.HostSpeed;
import org.wheatwall.core.job.model.Job;
import org.wheatwall.core.job.model.JobPhase;
import org.wheatwall.core.job.model.Placement;
import org.wheatwall.core.job.model.ResourceAmount;
import org.wheatwall.core.job.model.WorkerHost;

/** Gangs are placed on the fastest hosts of one rack, single tasks on slower ones. */
final class RackPackingTest {
  private static final ResourceAmount CAPACITY = new ResourceAmount(32, 1000, 8);

  private final Cluster cluster = new Cluster();
  private final RackPacking packing = new RackPacking();

  private void rack(String rack, HostSpeed... speeds) {
    for (int i = 0; i < speeds.length; i++) {
      String name = rack + "-" + i;
      cluster.add(new WorkerHost(name, "zone", rack, CAPACITY));
      cluster.setSpeed(name, speeds[i]);
    }
  }

  private Optional<Placement> place(int tasks, int accelerators, Adjacency adjacency) {
    Job job =
        new Job(
            Labels.NONE,
            "workspace",
            "zone",
            Optional.empty(),
            tasks,
            new ResourceAmount(1, 10, accelerators),
            adjacency,
            10,
            true,
            false,
            JobPhase.SUBMITTED);
    return packing.place(job, cluster);
  }

  private List<String> hosts(int tasks, int accelerators) {
    return place(tasks, accelerators, Adjacency.SAME_RACK).orElseThrow().hosts();
  }

  @Test
  void gangAvoidsASlowerHost() {
    rack("r", HostSpeed.SLOWER, HostSpeed.USUAL, HostSpeed.USUAL);
    assertThat(hosts(2, 8)).containsExactly("r-1", "r-2");
  }

  @Test
  void gangUsesTheRackWhoseSlowestHostIsFastest() {
    rack("full", HostSpeed.SLOWER, HostSpeed.USUAL);
    rack("roomy", HostSpeed.USUAL, HostSpeed.USUAL, HostSpeed.USUAL);
    assertThat(hosts(2, 8)).containsExactly("roomy-0", "roomy-1");
  }

  @Test
  void gangUsesASlowerHostIfNecessary() {
    rack("r", HostSpeed.SLOWER, HostSpeed.USUAL);
    assertThat(hosts(2, 8)).containsExactly("r-0", "r-1");
  }

  @Test
  void singleTaskUsesASlowerHostButNotAMuchSlowerOne() {
    rack("r", HostSpeed.USUAL, HostSpeed.MUCH_SLOWER, HostSpeed.SLOWER);
    assertThat(hosts(1, 1)).containsExactly("r-2");
    cluster.hold("other", new Placement(List.of("r-2")), CAPACITY, true);
    assertThat(hosts(1, 1)).containsExactly("r-0");
  }

  @Test
  void amongEqualHostsTheFullestRackAndHostAreUsed() {
    rack("empty", HostSpeed.USUAL, HostSpeed.USUAL);
    rack("used", HostSpeed.USUAL, HostSpeed.USUAL);
    cluster.hold("other", new Placement(List.of("used-1")), new ResourceAmount(1, 10, 4), true);
    assertThat(hosts(1, 2)).containsExactly("used-1");
    assertThat(hosts(2, 4)).containsExactly("used-1", "used-0");
  }

  @Test
  void gangThatFitsNoRackIsSpreadIfAllowed() {
    rack("a", HostSpeed.USUAL);
    rack("b", HostSpeed.USUAL);
    assertThat(place(2, 8, Adjacency.ANY)).isPresent();
    assertThat(place(2, 8, Adjacency.SAME_RACK)).isEmpty();
  }
}
