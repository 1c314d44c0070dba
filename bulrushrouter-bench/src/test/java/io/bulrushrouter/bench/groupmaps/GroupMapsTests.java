package io.bulrushrouter.bench.groupmaps;

import org.junit.jupiter.api.Test;

import io.bulrushrouter.bench.groupmaps.GroupPlay.Result;

import static com.google.common.truth.Truth.assertThat;

/**
 * The rules for maps in the model of a group whose demand turns.
 */
class GroupMapsTests {

	private static final GroupFigures GROUP = new GroupFigures("small", 12, 3, 96, 11, 4, 0.4, 1.3, 30);

	private static Result play(MapRule rule) {
		return new GroupPlay(GROUP, rule, 1).run();
	}

	@Test
	void thePolicyServesMoreThanTheFirstMapAndThanReplanningAtOnce() {
		double ours = play(MapRule.ofPolicy(GROUP)).tokensASecond();
		assertThat(ours).isGreaterThan(1.5 * play(MapRule.ofFirstMap()).tokensASecond());
		assertThat(ours).isGreaterThan(play(MapRule.ofReplanning(GROUP)).tokensASecond());
	}

	@Test
	void thePolicyCopiesLessThanHalfOfWhatReplanningAtOnceDoes() {
		assertThat(play(MapRule.ofPolicy(GROUP)).copies()).isLessThan(play(MapRule.ofReplanning(GROUP)).copies() / 2);
	}

	@Test
	void knowingTheFutureServesTheMost() {
		double future = play(MapRule.ofFuture(GROUP, GroupPlay.SECONDS_OF_TURN)).tokensASecond();
		assertThat(future).isGreaterThan(play(MapRule.ofPolicy(GROUP)).tokensASecond());
	}

	@Test
	void playsOfASeedAreEqual() {
		assertThat(play(MapRule.ofPolicy(GROUP))).isEqualTo(play(MapRule.ofPolicy(GROUP)));
	}

}
