package io.bulrushrouter.routing;

import java.util.List;

import org.junit.jupiter.api.Test;

import static com.google.common.truth.Truth.assertThat;

/**
 * Tests for {@link LoadTracker}.
 */
class LoadTrackerTests {

	private static final long MILLI = 1_000_000L;

	private LoadTracker tracker = LoadTracker.of(9, 3000, 0);

	private long now;

	private void serve(long key, long digest, int millis) {
		this.tracker.accepted(key, digest, 1000, 1100, this.now);
		this.now += millis * MILLI;
		this.tracker.firstToken(key, this.now);
		this.tracker.ended(key);
	}

	private int cachedTokens(long digest) {
		return this.tracker.report(List.of(digest), this.now).hints().get(0).cachedTokens();
	}

	@Test
	void measuresPrefillTimeAndRemainingTokens() {
		serve(1, 1, 1100);
		assertThat(this.tracker.millisPerToken()).isWithin(0.01).of(1);
		this.tracker.accepted(2, 2, 1000, 1100, this.now);
		this.tracker.accepted(3, 3, 1000, 1100, this.now);
		assertThat(this.tracker.report(List.of(), this.now + 100 * MILLI).queuedTokens()).isEqualTo(2100);
		this.tracker.ended(2);
		this.tracker.ended(3);
		assertThat(this.tracker.report(List.of(), this.now).queuedTokens()).isEqualTo(0);
	}

	@Test
	void evictsLeastRecentlyUsedPrefixesAndLookupIsNoUse() {
		for (long digest = 1; digest <= 4; digest++) {
			serve(digest, digest, 1100);
			cachedTokens(1);
		}
		assertThat(cachedTokens(1)).isEqualTo(0);
		assertThat(cachedTokens(2)).isEqualTo(1000);
	}

	@Test
	void ignoresCacheEventsOfAnEngineThatProvedWrong() {
		for (long digest = 1; digest <= 8; digest++) {
			serve(digest, digest, 1100);
		}
		for (long digest = 100; digest < 110; digest++) {
			this.tracker.cacheEvent(digest, 1000);
			serve(digest, digest, 1100);
		}
		this.tracker.cacheEvent(200, 1000);
		assertThat(cachedTokens(200)).isEqualTo(0);
		assertThat(this.tracker.millisPerToken()).isWithin(0.3).of(1);
	}

	@Test
	void dropsEarlierCacheEventsOfAnEngineThatProvedWrong() {
		this.tracker = LoadTracker.of(9, 100_000, 0);
		this.tracker.cacheEvent(300, 1000);
		assertThat(cachedTokens(300)).isEqualTo(1000);
		for (long digest = 1; digest <= 20; digest++) {
			if (digest > 10) {
				this.tracker.cacheEvent(digest, 1000);
			}
			serve(digest, digest, 1100);
		}
		assertThat(cachedTokens(300)).isEqualTo(0);
	}

	@Test
	void appliesEvictionsAndCorrectCacheEvents() {
		serve(1, 1, 1100);
		this.tracker.cacheEvent(1, 0);
		assertThat(cachedTokens(1)).isEqualTo(0);
		this.tracker.cacheEvent(2, 800);
		assertThat(cachedTokens(2)).isEqualTo(800);
	}

}
