package org.wheatwall.entry.batch.permit;

import static com.google.common.truth.Truth.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.junit.jupiter.api.Test;
import org.wheatwall.core.batch.model.PermitRequest;
import org.wheatwall.core.batch.model.PermitResponse;
import org.wheatwall.core.batch.model.StepKey;
import org.wheatwall.entry.common.Clock;

/** One question at a time, urgent ones first, and a pause after a failure. */
final class PermitDeskTest {
  private static final PermitResponse ANSWER = new PermitResponse(Map.of("w", "text"), 1000);

  private final List<PermitRequest> asked = new ArrayList<>();
  private final List<CompletableFuture<PermitResponse>> answers = new ArrayList<>();
  private final List<Runnable> timers = new ArrayList<>();
  private final List<String> heard = new ArrayList<>();
  private long nowMs = 10;

  private final PermitDesk desk =
      new PermitDesk(
          question -> {
            asked.add(question);
            CompletableFuture<PermitResponse> answer = new CompletableFuture<>();
            answers.add(answer);
            return answer;
          },
          Runnable::run,
          (delayMs, task) -> timers.add(task),
          new Clock() {
            @Override
            public long nowMs() {
              return nowMs;
            }

            @Override
            public long wallMs() {
              return nowMs;
            }
          },
          new PermitDesk.Listener() {
            @Override
            public void permitsAnswered(
                PermitRequest question, Optional<PermitResponse> answer, long askedMs) {
              heard.add(question.step().jobId() + " " + answer.isPresent() + " " + askedMs);
            }

            @Override
            public void permitsFailed(PermitRequest question, String cause) {
              heard.add(question.step().jobId() + " failed: " + cause);
            }
          });

  private static PermitRequest question(String job, boolean urgent) {
    return new PermitRequest(new StepKey(job, 0, 0), List.of("w"), urgent);
  }

  private List<String> askedJobs() {
    return asked.stream().map(question -> question.step().jobId()).toList();
  }

  @Test
  void oneQuestionIsUnderWayAndUrgentOnesGoFirst() {
    desk.ask(question("first", false));
    desk.ask(question("second", false));
    desk.ask(question("urgent", true));
    assertThat(askedJobs()).containsExactly("first");
    answers.get(0).complete(ANSWER);
    answers.get(1).complete(ANSWER);
    assertThat(askedJobs()).containsExactly("first", "urgent", "second").inOrder();
  }

  // The texts hold from the answer, which comes after the question went out, not after it queued.
  @Test
  void theTimeOfAQuestionIsWhenItWentOut() {
    desk.ask(question("first", false));
    desk.ask(question("second", false));
    nowMs = 500;
    answers.get(0).complete(ANSWER);
    answers.get(1).complete(ANSWER);
    assertThat(heard).containsExactly("first true 10", "second true 500").inOrder();
  }

  @Test
  void afterAFailureTheNextQuestionWaits() {
    desk.ask(question("first", false));
    desk.ask(question("second", false));
    answers.get(0).completeExceptionally(new PermitFailure("away"));
    assertThat(heard).containsExactly("first failed: away", "first false 10").inOrder();
    assertThat(askedJobs()).containsExactly("first");
    timers.get(0).run();
    assertThat(askedJobs()).containsExactly("first", "second").inOrder();
  }

  @Test
  void aDeskThatIsFullFailsAtOnce() {
    for (int i = 0; i <= PermitDesk.MAX_WAITING; i++) {
      desk.ask(question("job-" + i, false));
    }
    desk.ask(question("late", false));
    assertThat(heard).contains("late false 10");
  }

  @Test
  void aClosedDeskTellsNothing() {
    desk.ask(question("first", false));
    desk.ask(question("second", false));
    desk.close();
    answers.get(0).complete(ANSWER);
    assertThat(heard).isEmpty();
    assertThat(askedJobs()).containsExactly("first");
  }
}
