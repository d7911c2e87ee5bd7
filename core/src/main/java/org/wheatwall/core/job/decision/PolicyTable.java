package org.wheatwall.core.job.decision;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import org.wheatwall.core.common.Labels;
import org.wheatwall.core.common.Mechanisms;
import org.wheatwall.core.common.Selector;
import org.wheatwall.core.job.model.Job;
import org.wheatwall.core.job.model.PolicyAlgorithm;
import org.wheatwall.core.job.model.PolicySpec;
import org.wheatwall.core.job.policy.PolicyCatalog;
import org.wheatwall.core.job.policy.SchedulingPolicy;

/** Selects the policy that applies to a job. */
final class PolicyTable {
  /** Name of the policy for jobs that no other policy matches. */
  static final String DEFAULT_NAME = "default";

  private static final PolicySpec DEFAULT_SPEC =
      new PolicySpec(Labels.NONE, PolicyAlgorithm.RACK_PACKING, "", 0, 0, 0, false);

  private final List<Entry> entries = new ArrayList<>();

  /** A policy with its name and selector. */
  record Entry(String name, PolicySpec spec, Selector selector, SchedulingPolicy policy) {
    static Entry of(String name, PolicySpec spec) {
      return of(name, spec, Mechanisms.ALL);
    }

    static Entry of(String name, PolicySpec spec, Mechanisms mechanisms) {
      SchedulingPolicy policy = PolicyCatalog.create(spec).limitedTo(mechanisms);
      return new Entry(name, spec, Selector.parse(spec.jobSelector()), policy);
    }
  }

  /** Creates a table of the policies that are not shadow policies. */
  static PolicyTable ofActive(Map<String, PolicySpec> specs, Mechanisms mechanisms) {
    List<Entry> active = new ArrayList<>();
    specs.forEach(
        (name, spec) -> {
          if (!spec.shadow()) {
            active.add(Entry.of(name, spec, mechanisms));
          }
        });
    return new PolicyTable(active);
  }

  PolicyTable(List<Entry> policies) {
    entries.addAll(policies);
    entries.sort(
        Comparator.comparingInt((Entry entry) -> -entry.spec().precedence())
            .thenComparing(Entry::name));
    entries.add(Entry.of(DEFAULT_NAME, DEFAULT_SPEC));
  }

  /** Returns the matching policy of highest precedence; ties go to the first by name. */
  Entry policyFor(Job job) {
    for (Entry entry : entries) {
      if (entry.selector().matches(job.labels())) {
        return entry;
      }
    }
    throw new IllegalStateException("the default policy matches every job");
  }
}
