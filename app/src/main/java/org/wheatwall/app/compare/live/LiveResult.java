package org.wheatwall.app.compare.live;

/**
 * The result of a live simulation.
 *
 * @param worth weighted share of the possible credit that was earned: overall (0.7), in the worst
 *     class (0.15) and in the worst fifth of the time (0.15), less 0.4 times the share of lost work
 * @param live share of the urgent jobs that met their objective
 * @param others share of the other jobs that met their objective
 * @param lostWork share of the accelerator time that was spent on lost work
 * @param stops runs that were stopped in favour of others
 * @param refusals starts that a worker refused for lack of free capacity
 * @param fragmentation mean share of free accelerators on partly used hosts
 * @param breaches starts of tasks that were already running
 * @param unfinished jobs that were not complete at the end
 */
record LiveResult(
    double worth,
    double live,
    double others,
    double lostWork,
    int stops,
    int refusals,
    double fragmentation,
    int breaches,
    int unfinished) {}
