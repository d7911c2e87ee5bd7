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
 * Explores every order of events of a small model: one key, three members of a view of whom one is
 * the keeper, callers that ask again, records that get lost on the way, a member that is replaced,
 * a keeper that changes with the view, and messages that arrive late. In no order does the step run
 * twice. The ledgers are the real ones; the model adds views and messages.
 *
 * <p>The naive version, in which the keeper gives leave without the other members' records, is
 * explored too and must run the step twice in some order; that shows that the exploration can find
 * the fault.
 */
final class StepExplorationTest {
  private static final String KEY = "key";
  private static final int MEMBERS = 3;
  private static final int DEPTH = 7;

  /** Choices at each point of a run. */
  private enum Choice {
    /** A caller asks the keeper; every record arrives. */
    REQUEST,
    /** A caller asks; the record for the last member is lost, so leave is not given. */
    REQUEST_RECORD_LOST,
    /** A request that has leave runs now, and its end is told to all. */
    RUN_AND_FINISH,
    /** A request that has leave runs now; nobody is told. */
    RUN_WITHOUT_RECORD,
    /** The keeper is replaced by an empty host; the view changes. */
    REPLACE_KEEPER,
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

    private boolean apply(Choice choice) {
      nowMs++;
      switch (choice) {
        case REQUEST -> request(MEMBERS);
        case REQUEST_RECORD_LOST -> request(MEMBERS - 1);
        case RUN_AND_FINISH -> {
          return run(true);
        }
        case RUN_WITHOUT_RECORD -> {
          return run(false);
        }
        case REPLACE_KEEPER -> replace(0);
        case REPLACE_LAST -> replace(MEMBERS - 1);
      }
      return true;
    }

    private void request(int arriving) {
      GrantId grant = new GrantId("request-" + requests++, 1);
      StepLedger keeper = ledgers.get(0);
      if (keeper.admission(KEY, Optional.empty(), StepLedger.SINCE_BEGINNING, nowMs)
          != Admission.RUN) {
        return;
      }
      keeper.recordStart(KEY, grant, nowMs);
      boolean all = arriving == MEMBERS;
      long coverage = keeper.coveredSinceMs();
      for (int i = 1; i < arriving && recordsEverywhere; i++) {
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

    private boolean run(boolean told) {
      if (grants.isEmpty()) {
        return false;
      }
      GrantId grant = grants.remove(0);
      runs++;
      if (told) {
        recordEverywhere(grant, StepState.UNKNOWN);
      }
      return true;
    }

    private void recordEverywhere(GrantId grant, StepState state) {
      ledgers.forEach(ledger -> ledger.recordOutcome(KEY, grant, state, Optional.empty(), nowMs));
    }

    // The new host takes what a member that stays knows; the one that stays longest becomes keeper.
    private void replace(int index) {
      ledgers.remove(index);
      StepLedger fresh = ledger();
      if (recordsEverywhere) {
        for (StepRecord record : ledgers.get(0).page(0, 10)) {
          fresh.merge(record);
        }
        fresh.setCoveredSince(ledgers.get(0).coveredSinceMs());
      }
      ledgers.add(fresh);
    }
  }

  private long orders;

  private int maxRuns(boolean recordsEverywhere, List<Choice> path, int depth) {
    Model model = new Model(recordsEverywhere);
    for (Choice choice : path) {
      if (!model.apply(choice)) {
        return 0;
      }
    }
    orders++;
    int most = model.runs;
    if (depth == 0) {
      return most;
    }
    for (Choice choice : Choice.values()) {
      path.add(choice);
      most = Math.max(most, maxRuns(recordsEverywhere, path, depth - 1));
      path.remove(path.size() - 1);
    }
    return most;
  }

  @Test
  void noOrderOfEventsRunsTheStepTwice() {
    int most = maxRuns(true, new ArrayList<>(), DEPTH);
    System.out.printf("ordersExplored=%d mostRuns=%d%n", orders, most);
    assertThat(orders).isGreaterThan(50_000L);
    assertWithMessage("runs of one step").that(most).isEqualTo(1);
  }

  @Test
  void naiveVersionRunsTheStepTwice() {
    assertThat(maxRuns(false, new ArrayList<>(), 5)).isGreaterThan(1);
  }
}
