package org.wheatwall.app.compare.live;

/**
 * What came of a live day.
 *
 * @param worth credit earned of what was owed, over all (0.7), in the worst class (0.15) and in the
 *     worst fifth of the day (0.15), less 0.4 times the share of work thrown away
 * @param live share of the urgent jobs that were done in time
 * @param others share of the other jobs that were done in time
 * @param thrownAway share of all accelerator time that was spent on work thrown away
 * @param stops runs that were stopped for others
 * @param refusals starts for which a worker had no room yet
 * @param fragmentation mean share of free accelerators off wholly free hosts
 * @param breaches tasks that ran twice at once
 * @param unfinished jobs that were not done when the day was over
 */
record LiveResult(
    double worth,
    double live,
    double others,
    double thrownAway,
    int stops,
    int refusals,
    double fragmentation,
    int breaches,
    int unfinished) {}
