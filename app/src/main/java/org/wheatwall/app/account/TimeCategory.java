package org.wheatwall.app.account;

import java.util.Locale;

/** What the time of a job was spent on. The names are printed by {@link #label()}. */
enum TimeCategory {
  /** From its arrival until it was recorded in the job log. */
  ACCEPTING,
  /** There was no decider: it could not start, or its end was not reported. */
  NO_DECIDER,
  /** A new decider waited for the first reports of its workers. */
  FIRST_REPORTS,
  /** It waited for free capacity. */
  ROOM,
  /** A run that did not succeed was in progress. */
  LOST_RUN,
  /** A run was being stopped. */
  STOPPING,
  /** Its last run, up to the expected time. */
  RUNNING,
  /** Its last run, beyond the expected time: longer work, or a slow worker. */
  RUNNING_LONGER;

  String label() {
    return name().toLowerCase(Locale.ROOT).replace('_', '-');
  }
}
