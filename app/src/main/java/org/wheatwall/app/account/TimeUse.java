package org.wheatwall.app.account;

import java.util.Locale;

/** What a job's time went into. */
enum TimeUse {
  /** From its arrival until the log had kept it. */
  ACCEPTING,
  /** No host decided: it could not start, or its end was not heard. */
  NO_DECIDER,
  /** A new decider waited for the first reports of its workers. */
  FIRST_REPORTS,
  /** It waited for room. */
  ROOM,
  /** A run that did not get done was under way. */
  LOST_RUN,
  /** A run was being stopped. */
  STOPPING,
  /** Its last run, as long as was expected. */
  RUNNING,
  /** Its last run, beyond what was expected: longer work, or a slow worker. */
  RUNNING_LONGER;

  String label() {
    return name().toLowerCase(Locale.ROOT).replace('_', '-');
  }
}
