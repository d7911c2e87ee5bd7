package org.wheatwall.entry.operator;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.junit.jupiter.api.Test;
import org.wheatwall.core.common.Labels;
import org.wheatwall.core.common.Refusal;
import org.wheatwall.core.configuration.model.ResourceKind;
import org.wheatwall.core.job.model.Adjacency;
import org.wheatwall.core.job.model.Job;
import org.wheatwall.core.job.model.JobPhase;
import org.wheatwall.core.job.model.ResourceAmount;
import org.wheatwall.core.job.model.Workspace;
import org.wheatwall.entry.common.EntrySettings;
import org.wheatwall.wire.http.HttpCall;

/** Checks the calls that each role's token permits, as listed in docs/operators/keys.md. */
final class AccessRuleTest {
  private static final AccessRule RULE =
      new AccessRule(
          new EntrySettings.Tokens(
              List.of("reader"),
              List.of("writer"),
              List.of("admin"),
              Map.of("delta", List.of("delta-token"))));

  private static String verdict(String method, String path, String token) {
    HttpCall call = HttpCall.of(method, path);
    if (token != null) {
      call.with("Authorization", "Bearer " + token);
    }
    try {
      RULE.check(call);
      return "allowed";
    } catch (Refusal refusal) {
      return refusal.kind().label();
    }
  }

  @Test
  void eachTokenPermitsTheCallsOfItsRole() {
    Map<String, List<String>> allowed =
        Map.of(
            "GET /v1/jobs", List.of("reader", "writer", "admin"),
            "GET /v1/state", List.of("reader", "writer", "admin"),
            "PUT /v1/jobs/a", List.of("writer", "admin"),
            "DELETE /v1/jobs/a", List.of("writer", "admin"),
            "PUT /v1/workspaces/a", List.of("admin"),
            "DELETE /v1/policies/a", List.of("admin"));
    allowed.forEach(
        (call, roles) -> {
          String[] parts = call.split(" ", -1);
          for (String token : List.of("reader", "writer", "admin")) {
            assertWithMessage(call + " " + token)
                .that(verdict(parts[0], parts[1], token))
                .isEqualTo(roles.contains(token) ? "allowed" : "forbidden");
          }
          assertThat(verdict(parts[0], parts[1], null)).isEqualTo("unauthenticated");
          assertThat(verdict(parts[0], parts[1], "guess")).isEqualTo("unauthenticated");
        });
  }

  @Test
  void workspaceTokenIsLimitedToJobsOfTheWorkspace() {
    HttpCall call = HttpCall.of("PUT", "/v1/jobs/a").with("Authorization", "Bearer delta-token");
    JobScope scope = RULE.check(call);
    assertThat(scope.workspace()).hasValue("delta");
    assertThat(scope.includes(job("delta"))).isTrue();
    assertThat(scope.includes(job("coplit"))).isFalse();
    assertThat(scope.includes(new Workspace(Labels.NONE, 8, 1, 0))).isFalse();
    assertThrows(Refusal.class, () -> scope.requireIncluded(job("coplit")));
    assertThrows(Refusal.class, () -> scope.requireKind(ResourceKind.WORKSPACES));
    assertThrows(Refusal.class, scope::requireUnrestricted);
    scope.requireKind(ResourceKind.JOBS);
    assertThat(RULE.check(call.with("Authorization", "Bearer admin"))).isEqualTo(JobScope.ALL);
  }

  private static Job job(String workspace) {
    return new Job(
        Labels.NONE,
        workspace,
        "z1",
        Optional.empty(),
        1,
        new ResourceAmount(1, 1, 1),
        Adjacency.ANY,
        60,
        true,
        false,
        JobPhase.SUBMITTED);
  }

  @Test
  void onlyHealthChecksNeedNoToken() {
    assertThat(verdict("GET", "/v1/health/live", null)).isEqualTo("allowed");
    assertThat(verdict("GET", "/v1/health/ready", null)).isEqualTo("allowed");
    assertThat(verdict("GET", "/v1/metrics", null)).isEqualTo("unauthenticated");
  }
}
