package io.bulrushrouter.gateway.upstream;

import java.net.InetSocketAddress;
import java.util.List;
import java.util.Optional;

import org.junit.jupiter.api.Test;

import io.bulrushrouter.gateway.source.FeedResult.Item;
import io.bulrushrouter.gateway.source.UpstreamRecord;

import static com.google.common.truth.Truth.assertThat;

/**
 * The upstreams that may get requests, while the store answers and after an outage.
 */
class UpstreamDirectoryTests {

	private static final long SECOND = 1_000_000_000L;

	private final UpstreamDirectory directory = new UpstreamDirectory();

	private static Item<UpstreamRecord> ready(String id) {
		return new Item<>(id, Optional.of(record(id, false)));
	}

	private static Item<UpstreamRecord> leaving(String id) {
		return new Item<>(id, Optional.of(record(id, true)));
	}

	private static Item<UpstreamRecord> removed(String id) {
		return new Item<>(id, Optional.empty());
	}

	private static UpstreamRecord record(String id, boolean leaving) {
		return new UpstreamRecord(id, "service", InetSocketAddress.createUnresolved("10.0.0.1", 80), "a", 8, leaving,
				0);
	}

	private List<String> usable() {
		return this.directory.ready("service").stream().map(UpstreamRecord::id).toList();
	}

	@Test
	void isUnknownBeforeTheFirstList() {
		assertThat(this.directory.known()).isFalse();
		this.directory.replace(List.of(), 0);
		assertThat(this.directory.known()).isTrue();
	}

	@Test
	void excludesALeavingUpstreamAtOnce() {
		this.directory.replace(List.of(ready("a"), ready("b")), 0);
		this.directory.change(List.of(leaving("a")), SECOND);
		assertThat(usable()).containsExactly("b");
		assertThat(this.directory.accepts("a")).isFalse();
	}

	@Test
	void dropsARemovedUpstreamAtOnceWhileTheStoreAnswers() {
		this.directory.replace(List.of(ready("a"), ready("b")), 0);
		this.directory.change(List.of(removed("a")), SECOND);
		assertThat(usable()).containsExactly("b");
	}

	@Test
	void keepsAnUpstreamWhoseEntryLapsedDuringAStoreOutage() {
		this.directory.replace(List.of(ready("a"), ready("b")), 0);
		this.directory.storeLost();
		this.directory.change(List.of(removed("a"), removed("b")), 10 * SECOND);
		assertThat(usable()).containsExactly("a", "b");
		this.directory.change(List.of(ready("a")), 11 * SECOND);
		this.directory.expire(13 * SECOND);
		assertThat(usable()).containsExactly("a");
	}

	@Test
	void dropsALeavingUpstreamWhoseEntryLapsed() {
		this.directory.replace(List.of(leaving("a"), ready("b")), 0);
		this.directory.storeLost();
		this.directory.replace(List.of(ready("b")), 10 * SECOND);
		assertThat(usable()).containsExactly("b");
	}

	@Test
	void keepsUpstreamsThatTheCopyOfARestoredStoreLacksUntilTheyRegisterAgain() {
		this.directory.replace(List.of(ready("a"), ready("b")), 0);
		this.directory.storeRestored();
		this.directory.replace(List.of(ready("b")), 10 * SECOND);
		assertThat(usable()).containsExactly("a", "b");
		this.directory.expire(13 * SECOND);
		assertThat(usable()).containsExactly("b");
	}

	@Test
	void neverSendsToALeavingUpstreamThatTheCopyOfARestoredStoreCallsReady() {
		this.directory.replace(List.of(ready("a"), ready("b")), 0);
		this.directory.change(List.of(leaving("a")), SECOND);
		this.directory.storeRestored();
		this.directory.replace(List.of(ready("a"), ready("b")), 2 * SECOND);
		assertThat(usable()).containsExactly("b");
		assertThat(this.directory.accepts("a")).isFalse();
		this.directory.change(List.of(removed("a")), 3 * SECOND);
		this.directory.storeRestored();
		this.directory.replace(List.of(ready("a"), ready("b")), 4 * SECOND);
		assertThat(usable()).containsExactly("b");
	}

	@Test
	void sendsToARemovedUpstreamInTheCopyOnlyOnceItHasShownToBeAlive() {
		this.directory.replace(List.of(ready("a"), ready("b"), ready("c")), 0);
		this.directory.change(List.of(removed("a"), removed("b")), SECOND);
		this.directory.storeRestored();
		this.directory.replace(List.of(ready("a"), ready("b"), ready("c")), 2 * SECOND);
		assertThat(usable()).containsExactly("c");
		this.directory.change(List.of(ready("b")), 3 * SECOND);
		assertThat(usable()).containsExactly("b", "c");
		this.directory.expire(6 * SECOND);
		assertThat(usable()).containsExactly("b", "c");
		this.directory.expire(7 * SECOND);
		assertThat(usable()).containsExactly("a", "b", "c");
	}

	@Test
	void sendsToAnUpstreamThatReturnedAfterItsEntryHadLapsed() {
		this.directory.replace(List.of(ready("a"), ready("b")), 0);
		this.directory.change(List.of(removed("a")), SECOND);
		this.directory.change(List.of(ready("a")), 2 * SECOND);
		this.directory.storeRestored();
		this.directory.replace(List.of(ready("a"), ready("b")), 3 * SECOND);
		assertThat(usable()).containsExactly("a", "b");
	}

	@Test
	void takesALeavingUpstreamForRestartedWhenItIsReadyAgainAndStatesNoIncarnation() {
		this.directory.replace(List.of(leaving("a"), ready("b")), 0);
		this.directory.change(List.of(ready("a")), SECOND);
		assertThat(usable()).containsExactly("a", "b");
	}

	@Test
	void neverKeepsAnUpstreamThatIsRemovedAfterTheStoresReturnBeyondTheTimeToDrain() {
		this.directory.replace(List.of(ready("a"), ready("b")), 0);
		this.directory.storeLost();
		this.directory.change(List.of(), 10 * SECOND);
		this.directory.change(List.of(removed("a")), 10 * SECOND + SECOND / 2);
		assertThat(usable()).containsExactly("a", "b");
		this.directory.expire(11 * SECOND + SECOND / 2);
		assertThat(usable()).containsExactly("b");
		assertThat(this.directory.accepts("a")).isFalse();
	}

	@Test
	void ignoresAnEntryThatCannotBeDecoded() {
		this.directory.replace(List.of(ready("a"), removed("x")), 0);
		assertThat(usable()).containsExactly("a");
	}

}
