package io.bulrushrouter.coordination;

import java.util.List;
import java.util.concurrent.CompletionStage;

import io.bulrushrouter.kernel.store.LiveInstance;
import io.bulrushrouter.kernel.store.LiveList;

/**
 * A cached copy of the platform's list of instances. The list is requested only when
 * {@link #refresh()} is called; if the platform does not answer, the last known list is
 * kept.
 */
public final class PlatformLiveList implements LiveList {

	private final PlatformClient platform;

	private volatile List<LiveInstance> lastKnown = List.of();

	private PlatformLiveList(PlatformClient platform) {
		this.platform = platform;
	}

	/**
	 * Creates an empty list that is refreshed from the given platform.
	 * @param platform the client
	 * @return the list
	 */
	public static PlatformLiveList of(PlatformClient platform) {
		return new PlatformLiveList(platform);
	}

	/**
	 * Requests the list from the platform. The stage never completes exceptionally.
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
