package io.bulrushrouter.request;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicLong;
import java.util.stream.LongStream;
import java.util.stream.Stream;

import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.condition.EnabledIfSystemProperty;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.EnumSource;
import org.junit.jupiter.params.provider.MethodSource;

import io.bulrushrouter.request.FaultCell.Fault;
import io.bulrushrouter.request.FaultCell.Injection;
import io.bulrushrouter.request.FaultCell.Kind;
import io.bulrushrouter.request.FaultCell.Step;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

/**
 * Checks the {@link Invariants} with every fault injected at every step of a request and
 * its claim, singly and in pairs, and with random samples of three to five faults.
 */
class FaultMatrixTests {

	private static final long SEED = Long.getLong("fault.seed", 1);

	private static final long SAMPLES = Long.getLong("fault.samples", 20_000);

	private static final List<Injection> INJECTIONS = Stream.of(Fault.values())
		.flatMap((fault) -> Stream.of(Step.values()).map((step) -> new Injection(step, fault)))
		.toList();

	private static final AtomicLong CELLS = new AtomicLong();

	private static final AtomicLong VIOLATIONS = new AtomicLong();

	@AfterAll
	static void printCells() {
		System.out.println("fault matrix: " + CELLS + " cells, " + VIOLATIONS + " with violations");
	}

	@ParameterizedTest
	@EnumSource(Kind.class)
	void answersAllRequestsWithoutFaults(Kind kind) {
		SimulatedSystem system = new SimulatedSystem(new FaultCell(kind, SEED, List.of()), Guards.ALL).run();
		assertThat(Invariants.violations(system)).isEmpty();
		assertThat(system.callers.stream().allMatch((caller) -> caller.complete)).isTrue();
	}

	@ParameterizedTest
	@MethodSource("kindsAndFaults")
	void holdsUnderEachFaultAndEachPair(Kind kind, Fault fault) {
		List<String> failures = Collections.synchronizedList(new ArrayList<>());
		Stream.of(Step.values()).parallel().forEach((step) -> runWithPairs(kind, new Injection(step, fault), failures));
		assertWithMessage(String.join("\n", failures)).that(failures.size()).isEqualTo(0);
	}

	private static void runWithPairs(Kind kind, Injection first, List<String> failures) {
		Set<Step> reached = run(new FaultCell(kind, SEED, List.of(first)), failures);
		for (Injection second : INJECTIONS) {
			if (isNewPair(first, second, reached, kind)) {
				run(new FaultCell(kind, SEED, List.of(first, second)), failures);
			}
		}
	}

	@ParameterizedTest
	@EnumSource(value = Fault.class, names = { "ENTRY_DIES", "CALLER_GONE" }, mode = EnumSource.Mode.EXCLUDE)
	void answersHedgedReadsUnderEachFault(Fault fault) {
		for (Step step : Step.values()) {
			FaultCell cell = new FaultCell(Kind.HEDGED_READ, SEED, List.of(new Injection(step, fault)));
			assertWithMessage(cell.toString()).that(new SimulatedSystem(cell, Guards.ALL).run().watched().complete)
				.isTrue();
		}
	}

	@ParameterizedTest
	@EnumSource(value = Fault.class, mode = EnumSource.Mode.EXCLUDE,
			names = { "ENTRY_DIES", "CALLER_GONE", "MESSAGE_LOST", "RANK_STALLED" })
	void answersStreamsUnderEachFaultExceptSilentLossAndStallsPastTheDeadline(Fault fault) {
		for (Step step : Step.values()) {
			for (Kind kind : List.of(Kind.READ, Kind.RESUMED_STREAM, Kind.RERUN_STREAM)) {
				FaultCell cell = new FaultCell(kind, SEED, List.of(new Injection(step, fault)));
				assertWithMessage(cell.toString()).that(new SimulatedSystem(cell, Guards.ALL).run().watched().complete)
					.isTrue();
			}
		}
	}

	private static boolean isNewPair(Injection first, Injection second, Set<Step> reached, Kind kind) {
		if (second.fault().compareTo(first.fault()) < 0
				|| (second.fault() == first.fault() && second.step().compareTo(first.step()) <= 0)) {
			return false;
		}
		return reached.contains(second.step()) || SingleRuns.of(kind, second).contains(first.step());
	}

	private static Set<Step> run(FaultCell cell, List<String> failures) {
		SimulatedSystem system = new SimulatedSystem(cell, Guards.ALL).run();
		CELLS.incrementAndGet();
		List<String> violations = Invariants.violations(system);
		if (!violations.isEmpty()) {
			VIOLATIONS.incrementAndGet();
			failures.add("repeat with -Dfault.cell=\"" + cell + "\": " + violations);
		}
		return system.reachedSteps();
	}

	@Test
	void holdsUnderThreeToFiveFaults() {
		List<String> failures = Collections.synchronizedList(new ArrayList<>());
		LongStream.range(0, SAMPLES)
			.parallel()
			.mapToObj(FaultMatrixTests::sample)
			.forEach((cell) -> run(cell, failures));
		assertWithMessage(String.join("\n", failures)).that(failures.size()).isEqualTo(0);
	}

	private static FaultCell sample(long number) {
		SplittableRandom random = new SplittableRandom(SEED * SAMPLES + number);
		List<Injection> injections = random.ints(3 + random.nextInt(3), 0, INJECTIONS.size())
			.mapToObj(INJECTIONS::get)
			.toList();
		return new FaultCell(Kind.values()[random.nextInt(Kind.values().length)], random.nextInt(1000), injections);
	}

	@Test
	@EnabledIfSystemProperty(named = "fault.cell", matches = ".+")
	void holdsInOneCell() {
		FaultCell cell = FaultCell.parse(System.getProperty("fault.cell"));
		assertThat(Invariants.violations(new SimulatedSystem(cell, Guards.ALL).run())).isEmpty();
	}

	@ParameterizedTest
	@MethodSource("missingGuards")
	void noticesAMissingGuard(String name, Guards guards, Kind kind, String violated) {
		Optional<String> detected = INJECTIONS.stream()
			.flatMap((first) -> INJECTIONS.stream().map((second) -> new FaultCell(kind, SEED, List.of(first, second))))
			.flatMap((cell) -> Invariants.violations(new SimulatedSystem(cell, guards).run())
				.stream()
				.filter((violation) -> violation.contains(violated))
				.map((violation) -> cell + ": " + violation))
			.findFirst();
		System.out.println("without " + name + ": " + detected.orElse("no violation detected"));
		assertThat(detected).isPresent();
	}

	static Stream<Arguments> missingGuards() {
		return Stream.of(
				Arguments.of("the started mark", new Guards(false, true, true, true), Kind.READ,
						"was told 'not run' and ran"),
				Arguments.of("the claim", new Guards(true, false, true, true), Kind.RESERVATION, "ran 2 times"),
				Arguments.of("the incarnation check", new Guards(true, true, false, true), Kind.READ, " got '"),
				Arguments.of("the gate", new Guards(true, true, true, false), Kind.READ, "was draining and started"));
	}

	static Stream<Arguments> kindsAndFaults() {
		return Stream.of(Kind.values())
			.flatMap((kind) -> Stream.of(Fault.values()).map((fault) -> Arguments.of(kind, fault)));
	}

	/** The steps that a request reaches with a single fault, computed once. */
	private static final class SingleRuns {

		private static final Map<String, Set<Step>> STEPS = new ConcurrentHashMap<>();

		static Set<Step> of(Kind kind, Injection injection) {
			FaultCell cell = new FaultCell(kind, SEED, List.of(injection));
			return STEPS.computeIfAbsent(cell.toString(),
					(key) -> new SimulatedSystem(cell, Guards.ALL).run().reachedSteps());
		}

	}

}
