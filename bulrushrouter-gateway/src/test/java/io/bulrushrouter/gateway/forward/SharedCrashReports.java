package io.bulrushrouter.gateway.forward;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;

import io.bulrushrouter.gateway.quarantine.CrashReport;
import io.bulrushrouter.gateway.source.CrashReportStore;
import io.bulrushrouter.gateway.source.Feed;
import io.bulrushrouter.gateway.source.FeedResult;
import io.bulrushrouter.gateway.source.FeedResult.Item;

/**
 * Crash reports that several entries share, in place of a store.
 */
final class SharedCrashReports {

	private final List<Item<CrashReport>> written = new ArrayList<>();

	private final List<Runnable> watches = new ArrayList<>();

	private boolean available = true;

	/**
	 * Sets whether the store answers.
	 * @param available whether it does
	 */
	synchronized void available(boolean available) {
		this.available = available;
	}

	private synchronized boolean add(Item<CrashReport> report) {
		if (!this.available) {
			return false;
		}
		this.written.add(report);
		List.copyOf(this.watches).forEach(Runnable::run);
		this.watches.clear();
		return true;
	}

	private synchronized FeedResult<CrashReport> listed() {
		return this.available ? new FeedResult.Listed<>(List.copyOf(this.written), this.written.size(), 1)
				: new FeedResult.Unavailable<>("down");
	}

	private synchronized FeedResult<CrashReport> changed(long revision) {
		return this.available
				? new FeedResult.Changed<>(List.copyOf(this.written.subList((int) revision, this.written.size())),
						this.written.size(), 1)
				: new FeedResult.Unavailable<>("down");
	}

	private synchronized void watch(long revision, Runnable wake) {
		if (revision < this.written.size()) {
			wake.run();
		}
		else {
			this.watches.add(wake);
		}
	}

	/**
	 * Returns the store as an entry sees it.
	 * @param loop the event loop of the entry
	 * @return the store
	 */
	CrashReportStore storeFor(ScheduledExecutorService loop) {
		return new CrashReportStore() {

			@Override
			public CompletionStage<Boolean> write(String instance, CrashReport report) {
				boolean accepted = add(new Item<>(instance, Optional.of(report)));
				return CompletableFuture.supplyAsync(() -> accepted, loop);
			}

			@Override
			public Feed<CrashReport> reports() {
				return new Feed<>() {

					@Override
					public CompletionStage<FeedResult<CrashReport>> list() {
						return CompletableFuture.supplyAsync(SharedCrashReports.this::listed, loop);
					}

					@Override
					public CompletionStage<FeedResult<CrashReport>> watch(long revision, Duration timeout) {
						CompletableFuture<FeedResult<CrashReport>> result = new CompletableFuture<>();
						Runnable wake = () -> loop.execute(() -> result.complete(changed(revision)));
						SharedCrashReports.this.watch(revision, wake);
						loop.schedule(wake, timeout.toMillis(), TimeUnit.MILLISECONDS);
						return result;
					}

				};
			}

		};
	}

}
