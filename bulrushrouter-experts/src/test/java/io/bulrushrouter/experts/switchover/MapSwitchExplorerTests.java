package io.bulrushrouter.experts.switchover;

import java.util.List;
import java.util.Optional;
import java.util.SplittableRandom;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import static com.google.common.truth.Truth.assertThat;

class MapSwitchExplorerTests {

	/** Added to the maximum depth of each search, for longer runs than in CI. */
	private static final int EXTRA_DEPTH = Integer.getInteger("explorer.more-depth", 0);

	@ParameterizedTest
	@CsvSource({ "2,1,1,1,0,false,30", "2,1,1,1,1,false,12", "2,2,1,0,1,true,10", "2,2,1,1,0,true,10",
			"2,2,2,0,0,true,10", "3,1,1,1,1,true,9", "3,2,1,0,0,true,9", "4,1,1,0,0,true,10", "4,2,1,0,0,true,6" })
	void findsNoViolationInAnyInterleaving(int ranks, int balancers, int attempts, int restarts, int crashes,
			boolean instantLoad, int depth) {
		GroupModel group = new GroupModel(ranks, balancers, attempts, instantLoad, EngineRules.ALL_GUARDS);
		Explorer explorer = new Explorer(group, depth + EXTRA_DEPTH);
		Optional<String> violation = explorer
			.findViolation(List.of(group.start(restarts, crashes), group.startAfterPromises(restarts, crashes)));
		print(group, restarts, crashes, explorer);
		assertThat(violation).isEqualTo(Optional.empty());
	}

	@ParameterizedTest
	@CsvSource({ "2,2,2,2,2,80,400", "3,2,2,2,2,100,300", "4,2,2,2,1,120,200" })
	void findsNoViolationOnDeepRandomPaths(int ranks, int balancers, int attempts, int restarts, int crashes, int depth,
			int paths) {
		GroupModel group = new GroupModel(ranks, balancers, attempts, false, EngineRules.ALL_GUARDS);
		Explorer explorer = new Explorer(group, depth);
		Optional<String> violation = explorer.findViolationOnRandomPaths(group.start(restarts, crashes), paths,
				new SplittableRandom(1));
		print(group, restarts, crashes, explorer);
		assertThat(violation).isEqualTo(Optional.empty());
	}

	@ParameterizedTest
	@CsvSource({ "NO_COMMIT_BLOCK,1,two maps", "NO_COMMIT_BLOCK,2,stale", "NO_FENCE,2,stale",
			"NO_ARMED_STOP,1,two maps" })
	void findsViolationWhenGuardIsRemoved(EngineRules rules, int balancers, String expected) {
		GroupModel group = new GroupModel(2, balancers, 1, true, rules);
		Explorer explorer = new Explorer(group, 12);
		Optional<String> violation = explorer.findViolation(List.of(group.start(0, 0)));
		String summary = violation.map((text) -> text.lines().findFirst().orElseThrow()).orElse("nothing");
		System.out.println(rules + " found after " + explorer.summary() + ": " + summary);
		assertThat(violation.orElse("nothing found")).contains(expected);
	}

	private static void print(GroupModel group, int restarts, int crashes, Explorer explorer) {
		System.out.println(group.ranks + " ranks, " + group.balancers + " balancers, " + group.attempts + " attempts, "
				+ restarts + " restarts, " + crashes + " crashes: " + explorer.summary());
	}

}
