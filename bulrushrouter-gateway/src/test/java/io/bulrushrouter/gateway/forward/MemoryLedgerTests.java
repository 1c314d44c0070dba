package io.bulrushrouter.gateway.forward;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;

import org.junit.jupiter.api.Test;

import static com.google.common.truth.Truth.assertThat;

/**
 * Guards against an entry that runs out of memory while callers read slowly, and against
 * cuts of callers that do read.
 */
class MemoryLedgerTests {

	private static final long LIMIT = 18L << 20;

	private static final long SECOND = 1_000_000_000;

	private final MemoryLedger ledger = new MemoryLedger(() -> LIMIT);

	private final List<String> cut = new ArrayList<>();

	private final List<String> evicted = new ArrayList<>();

	private MemoryLedger.Account account(String name) {
		return this.ledger.open(() -> this.cut.add(name), () -> this.evicted.add(name));
	}

	@Test
	void cutsNoneOfTwoThousandSlowReaders() {
		Random random = new Random(7);
		List<MemoryLedger.Account> accounts = new ArrayList<>();
		long[] queued = new long[2_000];
		long mostHeld = 0;
		for (int index = 0; index < queued.length; index++) {
			accounts.add(account("reader " + index));
		}
		for (int turn = 0; turn < 200_000; turn++) {
			int index = random.nextInt(queued.length);
			boolean reads = random.nextInt(4) == 0;
			if (reads) {
				queued[index] = Math.max(0, queued[index] - 2_000);
			}
			else if (queued[index] <= accounts.get(index).allowance()) {
				queued[index] += 1 + random.nextInt(UpstreamConnectionPool.MAX_READ_BYTES);
			}
			accounts.get(index).queued(queued[index], reads, turn);
			mostHeld = Math.max(mostHeld, this.ledger.heldBytes());
		}
		assertThat(mostHeld).isAtMost(LIMIT);
		assertThat(this.cut).isEmpty();
	}

	@Test
	void cutsTheResponseWhoseCallerHasReadNothingForTheLongestTime() {
		MemoryLedger.Account reading = account("reading");
		MemoryLedger.Account stopped = account("stopped");
		reading.queued(LIMIT / 2, false, 0);
		stopped.queued(LIMIT / 2, false, 1);
		reading.queued(LIMIT / 2, true, 2);
		account("new").queued(1, false, 3);
		assertThat(this.cut).containsExactly("stopped");
		assertThat(this.ledger.heldBytes()).isEqualTo(LIMIT / 2 + 1);
		assertThat(this.ledger.cuts()).isEqualTo(1);
	}

	@Test
	void cutsAnUnboundedResponseThatWaitsForItsUpstream() {
		account("endless").buffered(LIMIT + 1);
		assertThat(this.cut).containsExactly("endless");
		assertThat(this.ledger.heldBytes()).isEqualTo(0);
	}

	@Test
	void refusesARequestOnceTheBoundIsReachedAndCutsWhoHasStoppedReading() {
		account("reading").queued(LIMIT / 2, false, SECOND);
		account("stopped").queued(LIMIT / 2, false, 0);
		MemoryLedger.Account request = account("request");
		assertThat(request.reserveRequest(1, 2 * SECOND)).isFalse();
		assertThat(this.cut).isEmpty();
		assertThat(request.reserveRequest(1, 3 * SECOND)).isFalse();
		assertThat(this.cut).containsExactly("stopped");
		assertThat(request.reserveRequest(1, 3 * SECOND)).isTrue();
	}

	@Test
	void leavesRoomForTheResponsesToRequests() {
		MemoryLedger.Account request = account("request");
		assertThat(request.reserveRequest(LIMIT * 3 / 4, 0)).isTrue();
		assertThat(request.reserveRequest(1, 0)).isFalse();
		account("reader").queued(LIMIT / 4, false, 0);
		assertThat(this.cut).isEmpty();
		request.close();
		assertThat(this.ledger.heldBytes()).isEqualTo(LIMIT / 4);
	}

	private MemoryLedger.UnreadRequest unread(String name) {
		return this.ledger.openUpstream(() -> this.cut.add(name));
	}

	@Test
	void dropsTheLongestAnsweredRequestsThatUpstreamsHaveNotReadBeforeItRefusesARequest() {
		unread("first").hold(LIMIT / 4);
		MemoryLedger.UnreadRequest written = unread("written");
		written.hold(LIMIT / 4);
		unread("last").hold(LIMIT / 4);
		written.release();
		assertThat(account("fits").reserveRequest(LIMIT / 4, 0)).isTrue();
		assertThat(this.cut).isEmpty();
		assertThat(account("request").reserveRequest(1, 0)).isTrue();
		assertThat(this.cut).containsExactly("first");
		assertThat(this.ledger.heldBytes()).isEqualTo(LIMIT / 2 + 1);
		assertThat(this.ledger.drops()).isEqualTo(1);
	}

	@Test
	void dropsRequestsThatUpstreamsHaveNotReadBeforeItCutsAResponse() {
		unread("unread").hold(LIMIT / 2);
		account("reader").queued(LIMIT / 2, false, 0);
		assertThat(this.cut).isEmpty();
		account("new").queued(1, false, 1);
		assertThat(this.cut).containsExactly("unread");
		unread("too large").hold(LIMIT);
		assertThat(this.cut).containsExactly("unread", "too large").inOrder();
		assertThat(this.ledger.heldBytes()).isEqualTo(LIMIT / 2 + 1);
	}

	// Guards against unfinished heads that together fill the heap.
	@Test
	void evictsTheConnectionThatHoldsMostUnservedOnceTheBoundIsReached() {
		account("largest").arriving(LIMIT / 2);
		MemoryLedger.Account growing = account("growing");
		growing.arriving(LIMIT / 4);
		assertThat(this.evicted).isEmpty();
		growing.arriving(LIMIT / 4 + 1);
		assertThat(this.evicted).containsExactly("largest");
		assertThat(this.ledger.heldBytes()).isEqualTo(LIMIT / 4 + 1);
		assertThat(this.ledger.evictions()).isEqualTo(1);
	}

	@Test
	void evictsTheConnectionThatReachesTheBoundItself() {
		account("small").arriving(1);
		account("endless").arriving(LIMIT);
		assertThat(this.evicted).containsExactly("endless");
		assertThat(this.ledger.heldBytes()).isEqualTo(1);
	}

	@Test
	void countsWhatWaitsBehindARequestAsUnserved() {
		MemoryLedger.Account pipelining = account("pipelining");
		pipelining.reserveRequest(1_000, 0);
		pipelining.pipelined(LIMIT / 2);
		pipelining.arriving(LIMIT / 8);
		account("arriving").arriving(LIMIT / 4);
		assertThat(this.evicted).containsExactly("pipelining");
		assertThat(this.ledger.heldBytes()).isEqualTo(LIMIT / 4);
	}

	@Test
	void servesAnOrdinaryRequestBesideUnfinishedOnes() {
		account("larger").arriving(LIMIT / 2);
		account("smaller").arriving(LIMIT / 4);
		MemoryLedger.Account large = account("large");
		assertThat(large.reserveRequest(100_000, 0)).isFalse();
		MemoryLedger.Account ordinary = account("ordinary");
		assertThat(this.evicted).isEmpty();
		assertThat(ordinary.reserveRequest(2_000, 0)).isTrue();
		assertThat(this.evicted).containsExactly("larger");
	}

	@Test
	void servesOrdinaryRequestsBesideLargeOnesThatFillTheirShare() {
		assertThat(account("large").reserveRequest(LIMIT * 3 / 4, 0)).isTrue();
		int served = 0;
		while (account("ordinary " + served).reserveRequest(2_000, 0)) {
			served++;
		}
		assertThat(served).isAtLeast(400);
	}

	// Guards against callers whose heads come in parts and are evicted for slow readers.
	@Test
	void evictsNoOrdinaryRequestWhileResponsesFillTheBound() {
		account("reader").queued(LIMIT, false, 0);
		MemoryLedger.Account ordinary = account("ordinary");
		ordinary.arriving(2_000);
		assertThat(ordinary.reserveRequest(2_000, 0)).isFalse();
		assertThat(this.evicted).isEmpty();
		account("large").arriving(20_000);
		assertThat(this.evicted).containsExactly("large");
		assertThat(this.cut).isEmpty();
	}

}
