package cypressvalve;

import static com.tngtech.archunit.lang.syntax.ArchRuleDefinition.classes;
import static com.tngtech.archunit.lang.syntax.ArchRuleDefinition.noClasses;
import static com.tngtech.archunit.library.dependencies.SlicesRuleDefinition.slices;

import com.tngtech.archunit.core.importer.ImportOption;
import com.tngtech.archunit.junit.AnalyzeClasses;
import com.tngtech.archunit.junit.ArchTest;
import com.tngtech.archunit.lang.ArchRule;

/** Which package may know which, and that decisions do no I/O. */
@AnalyzeClasses(packages = "cypressvalve", importOptions = ImportOption.DoNotIncludeTests.class)
class ArchitectureTest {
    private static final String[] IO = {"java.net..", "java.nio.file..", "java.nio.channels..", "org.xnio..",
        "io.undertow..", "java.net.http..", "java.util.concurrent.."};

    @ArchTest
    static final ArchRule DECISIONS_DO_NO_IO = noClasses().that().haveFullyQualifiedName("cypressvalve.Control")
        .or().resideInAnyPackage("cypressvalve.model..", "cypressvalve.judge..")
        .or().resideInAnyPackage("cypressvalve.load.sessions..", "cypressvalve.admission..",
            "cypressvalve.planner..", "cypressvalve.entitlement..")
        .or().resideInAnyPackage("cypressvalve.host.answer..")
        .or().haveFullyQualifiedName("cypressvalve.load.replay.Schedule")
        .or().haveFullyQualifiedName("cypressvalve.load.replay.Match")
        .or().haveFullyQualifiedName("cypressvalve.lab.Comparison")
        .or().haveSimpleName("Silence").or().haveSimpleName("ClockBound").or().haveSimpleName("Lifeline").or().haveSimpleName("EndRepeats")
        .or().haveFullyQualifiedName("cypressvalve.host.rtsp.Rtsp").or().haveFullyQualifiedName("cypressvalve.front.signal.Signal")
        .or().haveFullyQualifiedName("cypressvalve.front.signal.Wish")
        .should().dependOnClassesThat().resideInAnyPackage(IO)
        .orShould().callMethod(System.class, "nanoTime").orShould().callMethod(System.class, "currentTimeMillis");

    @ArchTest
    static final ArchRule CONTROL_KNOWS_STATE_ONLY = classes().that().haveFullyQualifiedName("cypressvalve.Control")
        .should().onlyDependOnClassesThat().resideInAnyPackage("java..", "cypressvalve.model..", "cypressvalve");

    @ArchTest
    static final ArchRule STAND_INS_SHARE_NOTHING_WITH_THE_CORE = noClasses()
        .that().resideInAnyPackage("cypressvalve.standin..", "cypressvalve.judge..", "cypressvalve.tape..")
        .should().dependOnClassesThat().resideInAnyPackage("cypressvalve.session..", "cypressvalve.host..",
            "cypressvalve.front..", "cypressvalve.net..", "cypressvalve.fleet..", "cypressvalve.model..",
            "cypressvalve.config..", "cypressvalve.run..")
        .orShould().dependOnClassesThat().haveFullyQualifiedName("cypressvalve.Control");

    @ArchTest
    static final ArchRule THE_CORE_KNOWS_NO_FRONT = noClasses().that().resideInAnyPackage("cypressvalve.session..",
        "cypressvalve.host..", "cypressvalve.fleet..", "cypressvalve.net..", "cypressvalve.config..")
        .should().dependOnClassesThat().resideInAnyPackage("cypressvalve.front..", "cypressvalve.run..",
            "cypressvalve.standin..", "cypressvalve.rehearsal..", "cypressvalve.lab..", "cypressvalve.load..",
            "cypressvalve.cli..");

    @ArchTest
    static final ArchRule THE_ADAPTER_LOADS_JACKSON_ONLY = noClasses().that().resideInAnyPackage("cypressvalve.adapter..",
        "cypressvalve.model..").or().haveFullyQualifiedName("cypressvalve.Control")
        .should().dependOnClassesThat().resideInAnyPackage("org.slf4j..", "io.undertow..", "org.xnio..", "picocli..",
            "io.micrometer..", "com.google..", "com.fasterxml.jackson.dataformat..");

    @ArchTest
    static final ArchRule THE_PLATFORMS_GATEWAY_LOADS_WHAT_IT_NEEDS = noClasses().that().resideInAnyPackage(
        "cypressvalve.front.signal..", "cypressvalve.host.rtsp..", "cypressvalve.fleet.stream..")
        .or().haveSimpleName("PlatformNode").or().haveSimpleName("Serve").or().haveSimpleName("Duplex")
        .should().dependOnClassesThat().resideInAnyPackage("org.slf4j..", "io.undertow..", "picocli..",
            "io.micrometer..", "com.google..", "com.fasterxml.jackson.dataformat..", "cypressvalve.front.hls..");

    @ArchTest
    static final ArchRule NO_CYCLES = slices().matching("cypressvalve.(*)..").should().beFreeOfCycles();
}
