package org.wheatwall.app;

import static com.tngtech.archunit.lang.syntax.ArchRuleDefinition.classes;
import static com.tngtech.archunit.lang.syntax.ArchRuleDefinition.noClasses;

import com.tngtech.archunit.core.importer.ImportOption;
import com.tngtech.archunit.junit.AnalyzeClasses;
import com.tngtech.archunit.junit.ArchTest;
import com.tngtech.archunit.lang.ArchRule;

/** Checks the dependency rules of docs/ARCHITECTURE.md. */
@AnalyzeClasses(packages = "org.wheatwall", importOptions = ImportOption.DoNotIncludeTests.class)
final class ArchitectureTest {
  @ArchTest
  static final ArchRule CORE_DEPENDS_ON_NOTHING =
      classes()
          .that()
          .resideInAPackage("org.wheatwall.core..")
          .should()
          .onlyDependOnClassesThat()
          .resideInAnyPackage("org.wheatwall.core..", "java.lang..", "java.util..");

  @ArchTest
  static final ArchRule CORE_HAS_NO_THREADS_OR_CLOCKS =
      noClasses()
          .that()
          .resideInAPackage("org.wheatwall.core..")
          .should()
          .dependOnClassesThat()
          .resideInAnyPackage("java.util.concurrent..", "java.time..")
          .orShould()
          .callMethod(System.class, "currentTimeMillis")
          .orShould()
          .callMethod(System.class, "nanoTime");

  @ArchTest
  static final ArchRule MODELS_DO_NOT_KNOW_DECISIONS =
      noClasses()
          .that()
          .resideInAPackage("org.wheatwall.core..model..")
          .should()
          .dependOnClassesThat()
          .resideInAnyPackage("org.wheatwall.core..decision..", "org.wheatwall.core..policy..");

  @ArchTest
  static final ArchRule REQUESTS_AND_JOBS_DO_NOT_KNOW_EACH_OTHER =
      noClasses()
          .that()
          .resideInAPackage("org.wheatwall.core.request..")
          .should()
          .dependOnClassesThat()
          .resideInAnyPackage("org.wheatwall.core.job..", "org.wheatwall.core.gang..");

  @ArchTest
  static final ArchRule ENTRY_HOST_DOES_NOT_KNOW_STAND_INS =
      noClasses()
          .that()
          .resideInAPackage("org.wheatwall.entry..")
          .should()
          .dependOnClassesThat()
          .resideInAnyPackage("org.wheatwall.standin..", "org.wheatwall.app..");

  @ArchTest
  static final ArchRule POLICIES_DO_NOT_USE_THE_MUTABLE_CLUSTER =
      noClasses()
          .that()
          .resideInAPackage("org.wheatwall.core.job.policy..")
          .should()
          .dependOnClassesThat()
          .haveFullyQualifiedName("org.wheatwall.core.job.decision.Cluster");

  @ArchTest
  static final ArchRule WIRE_DEPENDS_ON_CORE_ONLY =
      noClasses()
          .that()
          .resideInAPackage("org.wheatwall.wire..")
          .should()
          .dependOnClassesThat()
          .resideInAnyPackage(
              "org.wheatwall.entry..", "org.wheatwall.standin..", "org.wheatwall.app..");

  @ArchTest
  static final ArchRule ONLY_THE_COMMAND_LINE_KNOWS_THE_PLATFORM_ADAPTER =
      noClasses()
          .that()
          .resideInAnyPackage(
              "org.wheatwall.core..",
              "org.wheatwall.wire..",
              "org.wheatwall.entry..",
              "org.wheatwall.standin..")
          .should()
          .dependOnClassesThat()
          .resideInAPackage("org.wheatwall.platform..");

  @ArchTest
  static final ArchRule PLATFORM_ADAPTER_KNOWS_NO_STAND_IN =
      noClasses()
          .that()
          .resideInAPackage("org.wheatwall.platform..")
          .should()
          .dependOnClassesThat()
          .resideInAnyPackage("org.wheatwall.standin..", "org.wheatwall.app..");
}
