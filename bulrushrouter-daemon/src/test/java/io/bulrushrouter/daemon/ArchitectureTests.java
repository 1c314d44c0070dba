package io.bulrushrouter.daemon;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Clock;
import java.util.List;
import java.util.Random;
import java.util.concurrent.ThreadLocalRandom;
import java.util.random.RandomGenerator;
import java.util.random.RandomGeneratorFactory;
import java.util.stream.Stream;

import com.tngtech.archunit.base.DescribedPredicate;
import com.tngtech.archunit.core.domain.AccessTarget;
import com.tngtech.archunit.core.domain.JavaAccess;
import com.tngtech.archunit.core.domain.JavaClass;
import com.tngtech.archunit.core.importer.ImportOption;
import com.tngtech.archunit.junit.AnalyzeClasses;
import com.tngtech.archunit.junit.ArchTest;
import com.tngtech.archunit.lang.ArchRule;
import com.tngtech.archunit.lang.syntax.ArchRuleDefinition;
import com.tngtech.archunit.library.dependencies.SlicesRuleDefinition;
import org.junit.jupiter.api.Test;

import io.bulrushrouter.kernel.TimeSource;

import static com.google.common.truth.Truth.assertThat;

/**
 * Checks that the decision packages do not use I/O, clocks, threads or random sources of
 * their own, and that modules depend on each other only in the order of the layers.
 */
@AnalyzeClasses(packages = "io.bulrushrouter", importOptions = ImportOption.DoNotIncludeTests.class)
class ArchitectureTests {

	private static final String[] DECISION_PACKAGES = { "io.bulrushrouter.request..", "io.bulrushrouter.routing..",
			"io.bulrushrouter.experts..", "io.bulrushrouter.evacuation.." };

	private static final String ROOT_PACKAGE_PREFIX = "io.bulrushrouter.";

	@ArchTest
	static final ArchRule decisionsUseNoNetworkOrFiles = ArchRuleDefinition.noClasses()
		.that()
		.resideInAnyPackage(DECISION_PACKAGES)
		.should()
		.dependOnClassesThat()
		.resideInAnyPackage("java.net..", "java.nio.channels..", "java.nio.file..", "io.netty..",
				"org.asynchttpclient..", "io.bulrushrouter.http..", "io.bulrushrouter.wire..");

	@ArchTest
	static final ArchRule decisionsReadNoClock = ArchRuleDefinition.noClasses()
		.that()
		.resideInAnyPackage(DECISION_PACKAGES)
		.should()
		.accessTargetWhere(useOf(Clock.class, "system", "systemUTC", "systemDefaultZone", "tickMillis"))
		.orShould()
		.accessTargetWhere(useOf(System.class, "nanoTime", "currentTimeMillis"))
		.orShould()
		.accessTargetWhere(useOf(TimeSource.class, "ofSystem"))
		.orShould()
		.accessTargetWhere(
				DescribedPredicate.describe("read the current time with java.time", ArchitectureTests::readsNow));

	@ArchTest
	static final ArchRule decisionsHaveNoThreads = ArchRuleDefinition.noClasses()
		.that()
		.resideInAnyPackage(DECISION_PACKAGES)
		.should()
		.dependOnClassesThat(DescribedPredicate.describe("run threads", ArchitectureTests::runsThreads));

	@ArchTest
	static final ArchRule decisionsCreateNoRandomSource = ArchRuleDefinition.noClasses()
		.that()
		.resideInAnyPackage(DECISION_PACKAGES)
		.should()
		.dependOnClassesThat(
				DescribedPredicate.describe("create random numbers", ArchitectureTests::createsRandomNumbers))
		.orShould()
		.accessTargetWhere(useOf(RandomGenerator.class, "of", "getDefault"))
		.orShould()
		.accessTargetWhere(useOf(Math.class, "random"));

	@ArchTest
	static final ArchRule kernelDependsOnNoOtherModule = ArchRuleDefinition.noClasses()
		.that()
		.resideInAPackage("io.bulrushrouter.kernel..")
		.should()
		.dependOnClassesThat(DescribedPredicate.describe("belong to another module",
				(JavaClass type) -> type.getPackageName().startsWith(ROOT_PACKAGE_PREFIX)
						&& !type.getPackageName().startsWith(ROOT_PACKAGE_PREFIX + "kernel")));

	@ArchTest
	static final ArchRule decisionsDependOnNoDaemon = ArchRuleDefinition.noClasses()
		.that()
		.resideInAnyPackage(DECISION_PACKAGES)
		.should()
		.dependOnClassesThat()
		.resideInAnyPackage("io.bulrushrouter.daemon..", "io.bulrushrouter.standin..", "io.bulrushrouter.bench..");

	@ArchTest
	static final ArchRule modulesHaveNoCycles = SlicesRuleDefinition.slices()
		.matching("io.bulrushrouter.(*)..")
		.should()
		.beFreeOfCycles();

	@Test
	void eachPackageHasAPackageInfo() throws IOException {
		Path root = Path.of("").toAbsolutePath().getParent();
		List<Path> withoutPackageInfo;
		try (Stream<Path> files = Files.walk(root)) {
			withoutPackageInfo = files.filter((file) -> file.toString().endsWith(".java"))
				.filter((file) -> root.relativize(file).toString().contains("src/main/java"))
				.map(Path::getParent)
				.distinct()
				.filter((directory) -> !Files.exists(directory.resolve("package-info.java")))
				.toList();
		}
		assertThat(withoutPackageInfo).isEmpty();
	}

	private static DescribedPredicate<JavaAccess<?>> useOf(Class<?> owner, String... names) {
		return DescribedPredicate.describe("use " + owner.getSimpleName() + "." + String.join(" or ", names),
				(access) -> access.getTargetOwner().isEquivalentTo(owner)
						&& List.of(names).contains(access.getTarget().getName()));
	}

	private static boolean readsNow(JavaAccess<?> access) {
		return access.getTargetOwner().getPackageName().equals("java.time")
				&& access.getTarget().getName().equals("now")
				&& access.getTarget() instanceof AccessTarget.CodeUnitAccessTarget target
				&& target.getRawParameterTypes().isEmpty();
	}

	private static boolean runsThreads(JavaClass type) {
		return type.isAssignableTo(Thread.class) || type.getName().equals("java.util.concurrent.Executors")
				|| type.isAssignableTo("java.util.concurrent.ExecutorService")
				|| type.getName().startsWith("io.bulrushrouter.kernel.duty.");
	}

	private static boolean createsRandomNumbers(JavaClass type) {
		return type.isAssignableTo(Random.class) || type.isAssignableTo(ThreadLocalRandom.class)
				|| type.isEquivalentTo(RandomGeneratorFactory.class)
				|| type.getName().equals("java.util.SplittableRandom");
	}

}
