package org.wheatwall.core.request.decision;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.Test;
import org.wheatwall.core.request.decision.StepLedger.Admission;
import org.wheatwall.core.request.model.GrantId;
import org.wheatwall.core.request.model.StepRecord;
import org.wheatwall.core.request.model.StepState;

/**
 * Explores every order of events of a small model: one key, three members of a view of which one is
 * the granting member, repeated requests, lost records, a replaced member, a granting member that
 * changes with the view, and delayed messages. The step must not run twice in any order. The
 * ledgers are the real ones; the model adds views and messages.
 *
 * <p>A naive implementation, in which the granting member grants without the records of the other
 * members, is explored too and must run the step twice in some order, which shows that the
 * exploration can find the fault.
 */
final class StepExplorationTest {
  private static final String KEY = "key";
  private static final int MEMBERS = 3;
  private static final int DEPTH = 7;

  /** Possible events at each step of the exploration. */
  private enum Event {
    /** A caller sends a request to the granting member; every record arrives. */
    REQUEST,
    /** A caller sends a request; the record for the last member is lost, so there is no grant. */
    REQUEST_RECORD_LOST,
    /** A granted request runs now, and all members record its outcome. */
    RUN_AND_FINISH,
    /** A granted request runs now; no member records its outcome. */
    RUN_WITHOUT_RECORD,
    /** The granting member is replaced by an empty host; the view changes. */
    REPLACE_GRANTER,
    /** The last member is replaced by an empty host; the view changes. */
    REPLACE_LAST
  }

  /** One run of the model. */
  private static final class Model {
    private final boolean recordsEverywhere;
    private final List<StepLedger> ledgers = new ArrayList<>();
    private final List<GrantId> grants = new ArrayList<>();
    private int requests;
    private int runs;
    private int nowMs = 1;

    private Model(boolean recordsEverywhere) {
      this.recordsEverywhere = recordsEverywhere;
      for (int i = 0; i < MEMBERS; i++) {
        StepLedger ledger = ledger();
        ledger.setCoveredSince(StepLedger.SINCE_BEGINNING);
        ledgers.add(ledger);
      }
    }

    private static StepLedger ledger() {
      return new StepLedger(1_000_000, 1_000_000, 100, 1_000_000);
    }

    private boolean apply(Event event) {
      nowMs++;
      switch (event) {
        case REQUEST -> request(MEMBERS);
        case REQUEST_RECORD_LOST -> request(MEMBERS - 1);
        case RUN_AND_FINISH -> {
          return run(true);
        }
        case RUN_WITHOUT_RECORD -> {
          return run(false);
        }
        case REPLACE_GRANTER -> replace(0);
        case REPLACE_LAST -> replace(MEMBERS - 1);
      }
      return true;
    }

    private void request(int receivers) {
      GrantId grant = new GrantId("request-" + requests++, 1);
      StepLedger granter = ledgers.get(0);
      if (granter.admission(KEY, Optional.empty(), StepLedger.SINCE_BEGINNING, nowMs)
          != Admission.RUN) {
        return;
      }
      granter.recordStart(KEY, grant, nowMs);
      boolean all = receivers == MEMBERS;
      long coverage = granter.coveredSinceMs();
      for (int i = 1; i < receivers && recordsEverywhere; i++) {
        all &= ledgers.get(i).recordStart(KEY, grant, nowMs);
        coverage = Math.min(coverage, ledgers.get(i).coveredSinceMs());
      }
      boolean covered = coverage == StepLedger.SINCE_BEGINNING;
      if (!recordsEverywhere || (all && covered)) {
        grants.add(grant);
      } else {
        recordEverywhere(grant, all ? StepState.UNKNOWN : StepState.RELEASED);
      }
    }

    private boolean run(boolean recorded) {
      if (grants.isEmpty()) {
        return false;
      }
      GrantId grant = grants.remove(0);
      runs++;
      if (recorded) {
        recordEverywhere(grant, StepState.UNKNOWN);
      }
      return true;
    }

    private void recordEverywhere(GrantId grant, StepState state) {
      ledgers.forEach(ledger -> ledger.recordOutcome(KEY, grant, state, Optional.empty(), nowMs));
    }

    // The new host copies the records of a remaining member; the member that has been in the view
    // longest becomes the granting member.
    private void replace(int index) {
      ledgers.remove(index);
      StepLedger replacement = ledger();
      if (recordsEverywhere) {
        for (StepRecord record : ledgers.get(0).page(0, 10)) {
          replacement.merge(record);
        }
        replacement.setCoveredSince(ledgers.get(0).coveredSinceMs());
      }
      ledgers.add(replacement);
    }
  }

  private long orders;

  private int maxRuns(boolean recordsEverywhere, List<Event> path, int depth) {
    Model model = new Model(recordsEverywhere);
    for (Event event : path) {
      if (!model.apply(event)) {
        return 0;
      }
    }
    orders++;
    int max = model.runs;
    if (depth == 0) {
      return max;
    }
    for (Event event : Event.values()) {
      path.add(event);
      max = Math.max(max, maxRuns(recordsEverywhere, path, depth - 1));
      path.remove(path.size() - 1);
    }
    return max;
  }

  @Test
  void noOrderOfEventsRunsTheStepTwice() {
    int max = maxRuns(true, new ArrayList<>(), DEPTH);
    System.out.printf("ordersExplored=%d mostRuns=%d%n", orders, max);
    assertThat(orders).isGreaterThan(50_000L);
    assertWithMessage("runs of one step").that(max).isEqualTo(1);
  }

  @Test
  void naiveVersionRunsTheStepTwice() {
    assertThat(maxRuns(false, new ArrayList<>(), 5)).isGreaterThan(1);
  }
}
