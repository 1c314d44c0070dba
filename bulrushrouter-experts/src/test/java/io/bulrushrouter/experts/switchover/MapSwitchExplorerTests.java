package io.bulrushrouter.experts.switchover;

import java.util.List;
import java.util.Optional;
import java.util.SplittableRandom;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import static com.google.common.truth.Truth.assertThat;

class MapSwitchExplorerTests {

	/** Added to every depth, for longer runs than those of CI. */
	private static final int MORE_DEPTH = Integer.getInteger("explorer.more-depth", 0);

	@ParameterizedTest
	@CsvSource({ "2,1,1,1,0,false,30", "2,1,1,1,1,false,12", "2,2,1,0,1,true,10", "2,2,1,1,0,true,10",
			"2,2,2,0,0,true,10", "3,1,1,1,1,true,9", "3,2,1,0,0,true,9", "4,1,1,0,0,true,10", "4,2,1,0,0,true,6" })
	void holdsInEveryInterleaving(int ranks, int balancers, int attempts, int restarts, int crashes,
			boolean instantLoad, int depth) {
		Group group = new Group(ranks, balancers, attempts, instantLoad, EngineRules.WHOLE);
		Explorer explorer = new Explorer(group, depth + MORE_DEPTH);
		Optional<String> violation = explorer
			.violation(List.of(group.start(restarts, crashes), group.promised(restarts, crashes)));
		print(group, restarts, crashes, explorer);
		assertThat(violation).isEqualTo(Optional.empty());
	}

	@ParameterizedTest
	@CsvSource({ "2,2,2,2,2,80,400", "3,2,2,2,2,100,300", "4,2,2,2,1,120,200" })
	void holdsOnDeepPaths(int ranks, int balancers, int attempts, int restarts, int crashes, int depth, int paths) {
		Group group = new Group(ranks, balancers, attempts, false, EngineRules.WHOLE);
		Explorer explorer = new Explorer(group, depth);
		Optional<String> violation = explorer.violationOnPaths(group.start(restarts, crashes), paths,
				new SplittableRandom(1));
		print(group, restarts, crashes, explorer);
		assertThat(violation).isEqualTo(Optional.empty());
	}

	@ParameterizedTest
	@CsvSource({ "NO_VOW,1,two maps", "NO_VOW,2,stale", "NO_FENCE,2,stale", "NO_ARMED_STOP,1,two maps" })
	void findsRemovedGuard(EngineRules rules, int balancers, String found) {
		Group group = new Group(2, balancers, 1, true, rules);
		Explorer explorer = new Explorer(group, 12);
		Optional<String> violation = explorer.violation(List.of(group.start(0, 0)));
		String summary = violation.map((text) -> text.lines().findFirst().orElseThrow()).orElse("nothing");
		System.out.println(rules + " found after " + explorer.figures() + ": " + summary);
		assertThat(violation.orElse("nothing found")).contains(found);
	}

	private static void print(Group group, int restarts, int crashes, Explorer explorer) {
		System.out.println(group.ranks + " ranks, " + group.balancers + " balancers, " + group.attempts + " attempts, "
				+ restarts + " restarts, " + crashes + " crashes: " + explorer.figures());
	}

}
