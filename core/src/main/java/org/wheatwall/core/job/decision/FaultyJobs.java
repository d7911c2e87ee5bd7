package org.wheatwall.core.job.decision;

import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Set;

/**
 * Finds the jobs that fail by their own fault rather than by that of a host: they fail on many
 * hosts, on more than they got tasks done.
 */
final class FaultyJobs {
  // Only jobs that failed lately are compared; more than fail within a quarantine.
  private static final int MOST_JOBS = 1024;
  // With a fifth of the hosts failing all they are given, a job of 26 single tasks meets five of
  // them
  // before any of its tasks is done, and a gang one with each attempt.
  static final int LEAST_HOSTS = 8;

  private final Map<String, Course> courses =
      new LinkedHashMap<>(16, 0.75f, true) {
        private static final long serialVersionUID = 1L;

        @Override
        protected boolean removeEldestEntry(Map.Entry<String, Course> eldest) {
          return size() > MOST_JOBS;
        }
      };

  /** How a job that has failed somewhere fares. */
  private static final class Course {
    private final Set<String> failedOn = new HashSet<>();
    private int done;
  }

  /** Notes that a task of a job failed on a host; returns whether the job is at fault itself. */
  boolean failed(String job, String host) {
    Course course = courses.computeIfAbsent(job, name -> new Course());
    course.failedOn.add(host);
    return course.failedOn.size() >= LEAST_HOSTS && course.failedOn.size() > course.done;
  }

  /** Notes that a task of a job was done. */
  void progressed(String job) {
    Course course = courses.get(job);
    if (course != null) {
      course.done++;
    }
  }

  /** Returns the hosts on which a job failed. */
  Set<String> hostsOf(String job) {
    Course course = courses.get(job);
    return course == null ? Set.of() : Set.copyOf(course.failedOn);
  }
}
