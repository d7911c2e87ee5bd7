package org.wheatwall.wire.json;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.junit.jupiter.api.Test;
import org.wheatwall.core.common.Labels;
import org.wheatwall.core.common.Refusal;
import org.wheatwall.core.common.Resource;
import org.wheatwall.core.configuration.model.CapacitySummary;
import org.wheatwall.core.configuration.model.Change;
import org.wheatwall.core.configuration.model.ResourceKey;
import org.wheatwall.core.configuration.model.ResourceKind;
import org.wheatwall.core.configuration.model.Snapshot;
import org.wheatwall.core.configuration.model.SnapshotChunk;
import org.wheatwall.core.configuration.model.StoredResource;
import org.wheatwall.core.configuration.model.Verdict;
import org.wheatwall.core.job.model.Adjacency;
import org.wheatwall.core.job.model.GuaranteedShape;
import org.wheatwall.core.job.model.HostAdminState;
import org.wheatwall.core.job.model.Job;
import org.wheatwall.core.job.model.JobPhase;
import org.wheatwall.core.job.model.PolicyAlgorithm;
import org.wheatwall.core.job.model.PolicySpec;
import org.wheatwall.core.job.model.ResourceAmount;
import org.wheatwall.core.job.model.Workspace;
import org.wheatwall.core.membership.model.Member;
import org.wheatwall.core.membership.model.ZoneView;
import org.wheatwall.core.request.model.ServiceSpec;

final class LogRecordCodecTest {
  private static final Labels LABELS = new Labels(Map.of("tier", "clinic"));
  private static final ResourceAmount AMOUNT = new ResourceAmount(4, 1024, 8);
  private static final Member MEMBER = new Member("entry-1", 17, "127.0.0.1:7401");
  private static final Map<ResourceKind, Resource> ONE_OF_EACH =
      Map.of(
          ResourceKind.WORKSPACES,
          new Workspace(LABELS, 64, 3, 100),
          ResourceKind.SHAPES,
          new GuaranteedShape(LABELS, "delta", "z1", 2, AMOUNT, Adjacency.SAME_RACK, 3),
          ResourceKind.POLICIES,
          new PolicySpec(LABELS, PolicyAlgorithm.BLEND, "tier in (a,b)", 5, 70, 30, true),
          ResourceKind.JOBS,
          new Job(
              LABELS,
              "delta",
              "z1",
              Optional.of("shape-1"),
              4,
              AMOUNT,
              Adjacency.SAME_HOST,
              60,
              true,
              true,
              JobPhase.CANCELLED),
          ResourceKind.HOSTS,
          new HostAdminState(LABELS, true),
          ResourceKind.SERVICES,
          new ServiceSpec(LABELS, 10, 20, 2),
          ResourceKind.VIEWS,
          new ZoneView(LABELS, List.of(MEMBER), List.of(), true));

  @Test
  void everyKindOfObjectIsReadAsItWasWritten() {
    for (ResourceKind kind : ResourceKind.values()) {
      Change change =
          new Change(
              "change-1",
              new ResourceKey(kind, "name-1"),
              7,
              12,
              Optional.of(ONE_OF_EACH.get(kind)),
              Optional.of(new CapacitySummary(Map.of("z1", Map.of("8/1024/8", 2)))));
      LogRecord record = LogRecord.ofChanges(List.of(change));
      assertThat(LogRecordCodec.read(LogRecordCodec.write(record))).isEqualTo(record);
    }
  }

  @Test
  void snapshotsKeepTombstonesAndVerdicts() {
    ResourceKey key = new ResourceKey(ResourceKind.HOSTS, "worker-1");
    Snapshot part =
        new Snapshot(
            42,
            List.of(new StoredResource(key, 41, Optional.empty())),
            List.of(
                new Snapshot.Recent(
                    40, new Verdict("c", Verdict.Decision.STALE_VERSION, 3, "detail"))));
    LogRecord record = LogRecord.ofChunk(new SnapshotChunk("s", 0, 1, part));
    assertThat(LogRecordCodec.read(LogRecordCodec.write(record))).isEqualTo(record);
  }

  @Test
  void malformedRecordsAreRefusedWithARemedy() {
    for (String text :
        List.of(
            "",
            "null",
            "[",
            "{\"format\":2,\"changes\":[]}",
            "{\"format\":1,\"changes\":[{\"kind\":\"nonsense\",\"name\":\"a\"}]}",
            "{\"format\":1,\"changes\":[{\"kind\":\"hosts\",\"name\":\"A B\",\"id\":\"x\"}]}",
            "{\"format\":1,\"snapshot\":{\"index\":3,\"count\":2}}")) {
      Refusal refusal =
          assertThrows(
              Refusal.class, () -> LogRecordCodec.read(text.getBytes(StandardCharsets.UTF_8)));
      assertThat(refusal.remedy()).isNotEmpty();
    }
  }
}
