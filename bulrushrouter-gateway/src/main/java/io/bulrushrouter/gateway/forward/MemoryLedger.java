package io.bulrushrouter.gateway.forward;

import java.util.Collections;
import java.util.Comparator;
import java.util.LinkedHashSet;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import java.util.function.LongSupplier;

/**
 * Bounds what all connections hold together: requests from their first byte on, responses
 * that are buffered, and bytes in write queues. At the bound, requests whose response has
 * ended and that their upstream has not read are dropped first, since nobody waits for
 * them. Then the connection is evicted that holds most of what is not served yet. If the
 * bound is still exceeded by responses, the one whose caller has read nothing for the
 * longest time is cut. Decides only; not thread-safe.
 */
final class MemoryLedger {

	/**
	 * Share of the bound that requests may take. The rest is left to responses, without
	 * which requests do not end.
	 */
	private static final double REQUEST_SHARE = 0.75;

	/**
	 * Share that requests of ordinary length may take, so that they are served while
	 * large ones fill their share.
	 */
	private static final double ORDINARY_REQUEST_SHARE = 0.8;

	/** Length up to which a request is an ordinary one. */
	private static final long MAX_ORDINARY_BYTES = 8 * 1024;

	/**
	 * Part of the free bytes that a single response may queue. With N slow readers each
	 * queues at most the bound / (N + 16), so that many of them share the bound without a
	 * cut, while a few get deep queues.
	 */
	private static final int FREE_BYTES_DIVISOR = 16;

	/** A response may queue this much in any case, some tens of events of a stream. */
	private static final long MIN_ALLOWANCE_BYTES = 1_024;

	/** Netty's default high-water mark; a deeper queue does not speed a caller up. */
	private static final long MAX_ALLOWANCE_BYTES = 64 * 1024;

	/**
	 * Time without a read after which a response is cut in favour of later requests. A
	 * caller that reads slowly takes something each second.
	 */
	private static final long STOPPED_NANOS = TimeUnit.SECONDS.toNanos(3);

	private final LongSupplier limit;

	private final Set<Account> waiting = new LinkedHashSet<>();

	private final Set<UnreadRequest> unreadRequests = new LinkedHashSet<>();

	/** Connections that hold something that is not served, and some that no longer do. */
	private final Set<Account> unserved = new LinkedHashSet<>();

	private long requestBytes;

	private long responseBytes;

	private long cuts;

	private long evictions;

	private long drops;

	/**
	 * Creates a ledger.
	 * @param limit the bound in bytes, which may change when the settings are reloaded
	 */
	MemoryLedger(LongSupplier limit) {
		this.limit = limit;
	}

	/**
	 * Opens the account of one connection.
	 * @param onCut runs when the response of the connection is to be cut; the account is
	 * closed by then
	 * @param onEvict runs when the connection is to be closed because of what it holds
	 * unserved; the account is closed by then
	 * @return the account
	 */
	Account open(Runnable onCut, Runnable onEvict) {
		return new Account(onCut, onEvict);
	}

	/**
	 * Opens the account of one connection to an upstream, for requests that are not
	 * written when their response ends.
	 * @param onDrop closes the connection; the account holds nothing by then
	 * @return the account
	 */
	UnreadRequest openUpstream(Runnable onDrop) {
		return new UnreadRequest(onDrop);
	}

	/**
	 * Returns what all connections hold.
	 * @return the number of bytes
	 */
	long heldBytes() {
		return this.requestBytes + this.responseBytes;
	}

	/**
	 * Returns how many responses were cut since the start.
	 * @return the number
	 */
	long cuts() {
		return this.cuts;
	}

	/**
	 * Returns how many connections were evicted since the start because of what they held
	 * unserved.
	 * @return the number
	 */
	long evictions() {
		return this.evictions;
	}

	/**
	 * Returns how many requests with an ended response were dropped since the start
	 * because the bound was reached.
	 * @return the number
	 */
	long drops() {
		return this.drops;
	}

	private boolean fits(long bytes, double share) {
		return heldBytes() + bytes <= this.limit.getAsLong() && requestsFit(bytes, share);
	}

	private boolean requestsFit(long bytes, double share) {
		return this.requestBytes + bytes <= share * this.limit.getAsLong();
	}

	// Where responses fill the bound, ordinary requests are not evicted for them.
	private void evictUnserved(long bytes) {
		while (!fits(bytes, REQUEST_SHARE) && !this.unserved.isEmpty()) {
			Account largest = Collections.max(this.unserved, Comparator.comparingLong(Account::unservedBytes));
			long smallest = requestsFit(bytes, REQUEST_SHARE) ? MAX_ORDINARY_BYTES : 0;
			if (largest.unservedBytes() <= smallest) {
				return;
			}
			largest.evict();
		}
	}

	private void dropUnreadRequests(BooleanSupplier enough) {
		while (!enough.getAsBoolean() && !this.unreadRequests.isEmpty()) {
			this.unreadRequests.iterator().next().drop();
		}
	}

	private void cutUnreadResponses(Account grown) {
		dropUnreadRequests(() -> heldBytes() <= this.limit.getAsLong());
		while (heldBytes() > this.limit.getAsLong() && !this.waiting.isEmpty()) {
			longestUnread().cut();
		}
		if (heldBytes() > this.limit.getAsLong() && !grown.closed) {
			grown.cut();
		}
	}

	// Without this, callers that read nothing more could have all later requests refused.
	private void cutStopped(long nowNanos) {
		if (!this.waiting.isEmpty() && nowNanos - longestUnread().unreadSinceNanos >= STOPPED_NANOS) {
			longestUnread().cut();
		}
	}

	private Account longestUnread() {
		return Collections.min(this.waiting, Comparator.comparingLong(Account::unreadSinceNanos));
	}

	/**
	 * What one connection holds.
	 */
	final class Account implements AutoCloseable {

		private final Runnable onCut;

		private final Runnable onEvict;

		private long ownRequestBytes;

		private long arrivingBytes;

		private long pipelinedBytes;

		private long bufferedBytes;

		private long queuedBytes;

		private long unreadSinceNanos;

		private boolean closed;

		private Account(Runnable onCut, Runnable onEvict) {
			this.onCut = onCut;
			this.onEvict = onEvict;
		}

		/**
		 * Reserves bytes for a request.
		 * @param bytes the number of bytes
		 * @param nowNanos the time on the monotonic clock, in nanoseconds
		 * @return whether they fit; if not, nothing is reserved
		 */
		boolean reserveRequest(long bytes, long nowNanos) {
			MemoryLedger ledger = MemoryLedger.this;
			boolean ordinary = this.ownRequestBytes + bytes <= MAX_ORDINARY_BYTES;
			dropUnreadRequests(() -> fits(bytes, REQUEST_SHARE));
			if (ordinary) {
				evictUnserved(bytes);
			}
			if (heldBytes() + bytes > ledger.limit.getAsLong()) {
				cutStopped(nowNanos);
				return false;
			}
			if (this.closed || !fits(bytes, ordinary ? ORDINARY_REQUEST_SHARE : REQUEST_SHARE)) {
				return false;
			}
			this.ownRequestBytes += bytes;
			ledger.requestBytes += bytes;
			return true;
		}

		/**
		 * Releases what is reserved for the request.
		 */
		void releaseRequest() {
			MemoryLedger.this.requestBytes -= this.ownRequestBytes;
			this.ownRequestBytes = 0;
		}

		/**
		 * Records how much of later requests has arrived before they are served.
		 * @param bytes the number of bytes
		 */
		void pipelined(long bytes) {
			if (!this.closed) {
				MemoryLedger.this.requestBytes += bytes - this.pipelinedBytes;
				this.pipelinedBytes = bytes;
			}
		}

		/**
		 * Records how much of a request has arrived without being complete, at the end of
		 * each read. Connections that hold most unserved are evicted at the bound, this
		 * one included.
		 * @param bytes the number of bytes
		 */
		void arriving(long bytes) {
			if (this.closed) {
				return;
			}
			MemoryLedger.this.requestBytes += bytes - this.arrivingBytes;
			this.arrivingBytes = bytes;
			if (unservedBytes() > 0) {
				MemoryLedger.this.unserved.add(this);
				dropUnreadRequests(() -> fits(0, REQUEST_SHARE));
				evictUnserved(0);
			}
		}

		private long unservedBytes() {
			return this.arrivingBytes + this.pipelinedBytes;
		}

		private void evict() {
			MemoryLedger.this.evictions++;
			close();
			this.onEvict.run();
		}

		/**
		 * Records how much of the response is held back until more of it has arrived.
		 * @param bytes the number of bytes
		 */
		void buffered(long bytes) {
			if (!this.closed) {
				MemoryLedger.this.responseBytes += bytes - this.bufferedBytes;
				this.bufferedBytes = bytes;
				cutUnreadResponses(this);
			}
		}

		/**
		 * Records how much of the response waits for the caller to read.
		 * @param bytes the number of bytes
		 * @param progress whether the caller has read something since the last call
		 * @param nowNanos the time on the monotonic clock, in nanoseconds
		 */
		void queued(long bytes, boolean progress, long nowNanos) {
			if (this.closed) {
				return;
			}
			if (progress || this.queuedBytes == 0) {
				this.unreadSinceNanos = nowNanos;
			}
			MemoryLedger.this.responseBytes += bytes - this.queuedBytes;
			this.queuedBytes = bytes;
			if (bytes > 0) {
				MemoryLedger.this.waiting.add(this);
				cutUnreadResponses(this);
			}
			else if (!MemoryLedger.this.waiting.isEmpty()) {
				MemoryLedger.this.waiting.remove(this);
			}
		}

		/**
		 * Returns how much may wait for the caller before reading from the upstream
		 * pauses.
		 * @return the number of bytes
		 */
		long allowance() {
			long free = MemoryLedger.this.limit.getAsLong() - heldBytes();
			return Math.min(MAX_ALLOWANCE_BYTES, Math.max(MIN_ALLOWANCE_BYTES, free / FREE_BYTES_DIVISOR));
		}

		/**
		 * Returns since when the caller has read nothing of what waits for it.
		 * @return the time on the monotonic clock, in nanoseconds
		 */
		long unreadSinceNanos() {
			return this.unreadSinceNanos;
		}

		private void cut() {
			MemoryLedger.this.cuts++;
			close();
			this.onCut.run();
		}

		@Override
		public void close() {
			releaseRequest();
			MemoryLedger.this.requestBytes -= unservedBytes();
			this.arrivingBytes = 0;
			this.pipelinedBytes = 0;
			MemoryLedger.this.unserved.remove(this);
			MemoryLedger.this.responseBytes -= this.bufferedBytes + this.queuedBytes;
			this.bufferedBytes = 0;
			this.queuedBytes = 0;
			this.closed = true;
			MemoryLedger.this.waiting.remove(this);
		}

	}

	/**
	 * A request that waits for its upstream to read although its response has ended. Its
	 * bytes count after the caller's account has released them.
	 */
	final class UnreadRequest {

		private final Runnable onDrop;

		private long bytes;

		private UnreadRequest(Runnable onDrop) {
			this.onDrop = onDrop;
		}

		/**
		 * Holds the bytes of a request until it is released or dropped.
		 * @param bytes the number of bytes
		 */
		void hold(long bytes) {
			this.bytes = bytes;
			MemoryLedger.this.requestBytes += bytes;
			MemoryLedger.this.unreadRequests.add(this);
			dropUnreadRequests(() -> fits(0, REQUEST_SHARE));
		}

		/**
		 * Releases the request, if one is held, once it is written or its connection has
		 * closed.
		 */
		void release() {
			MemoryLedger.this.requestBytes -= this.bytes;
			this.bytes = 0;
			MemoryLedger.this.unreadRequests.remove(this);
		}

		private void drop() {
			MemoryLedger.this.drops++;
			release();
			this.onDrop.run();
		}

	}

}
