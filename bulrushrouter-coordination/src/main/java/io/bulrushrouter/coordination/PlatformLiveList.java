package io.bulrushrouter.coordination;

import java.util.List;
import java.util.concurrent.CompletionStage;

import io.bulrushrouter.kernel.store.LiveInstance;
import io.bulrushrouter.kernel.store.LiveList;

/**
 * The platform's list of instances, kept as last seen. It is asked for only when
 * {@link #refresh()} is called; an outage leaves the last list in place.
 */
public final class PlatformLiveList implements LiveList {

	private final PlatformClient platform;

	private volatile List<LiveInstance> lastKnown = List.of();

	private PlatformLiveList(PlatformClient platform) {
		this.platform = platform;
	}

	/**
	 * Returns an empty list that asks the given platform.
	 * @param platform the client
	 * @return the list
	 */
	public static PlatformLiveList of(PlatformClient platform) {
		return new PlatformLiveList(platform);
	}

	/**
	 * Asks the platform for the list. The stage never fails.
	 * @return whether the platform answered
	 */
	public CompletionStage<Boolean> refresh() {
		return this.platform.instances().thenApply((answer) -> {
			answer.ifPresent((instances) -> this.lastKnown = instances);
			return answer.isPresent();
		});
	}

	@Override
	public List<LiveInstance> instances() {
		return this.lastKnown;
	}

}
