package io.bulrushrouter.coordination;

import java.util.List;
import java.util.concurrent.CompletionStage;

import org.asynchttpclient.Response;

import io.bulrushrouter.kernel.store.LiveInstance;
import io.bulrushrouter.kernel.store.LiveList;

/**
 * The platform's list of instances, kept as last seen. It is asked for only when
 * {@link #refresh()} is called; an outage leaves the last list in place.
 */
public final class PlatformLiveList implements LiveList {

	private final HttpObjectStore platform;

	private volatile Seen seen = new Seen(0, List.of());

	private PlatformLiveList(HttpObjectStore platform) {
		this.platform = platform;
	}

	/**
	 * Returns an empty list that asks the given platform.
	 * @param platform the client
	 * @return the list
	 */
	public static PlatformLiveList of(HttpObjectStore platform) {
		return new PlatformLiveList(platform);
	}

	/**
	 * Asks the platform for the list, in one call that is cheap if nothing changed. The
	 * stage never fails.
	 * @return whether the platform answered
	 */
	public CompletionStage<Boolean> refresh() {
		return this.platform.fetch("/v1/instances", this.seen.version())
			.handle((response, failure) -> failure == null && take(response));
	}

	private synchronized boolean take(Response response) {
		if (response.getStatusCode() == 304) {
			return true;
		}
		long version = PlatformAnswers.versionOf(response).orElse(0L);
		return PlatformAnswers.instances(response).map((instances) -> {
			if (version >= this.seen.version()) {
				this.seen = new Seen(version, instances);
			}
			return true;
		}).orElse(false);
	}

	@Override
	public List<LiveInstance> instances() {
		return this.seen.instances();
	}

	private record Seen(long version, List<LiveInstance> instances) {
	}

}
