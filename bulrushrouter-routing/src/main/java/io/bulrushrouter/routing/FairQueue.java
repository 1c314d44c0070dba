package io.bulrushrouter.routing;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

import io.bulrushrouter.kernel.OrganisationId;
import io.bulrushrouter.kernel.Priority;

/**
 * Weighted fair queueing of requests between organisations by tokens served, using
 * start-time fair queueing (Goyal, Vin and Cheng, 1996). Virtual time is in tokens per
 * unit of weight. Not thread-safe.
 *
 * <pre>{@code
 * FairQueue<Call> queue = FairQueue.of(FairQueueSettings.of(64, weights), now);
 * OfferResult<Call> offer = queue.offer(call, organisation, priority, tokens, deadline, now);
 * queue.next(now).ifPresent((dispatch) -> start(dispatch.item()));
 * queue.firstToken(dispatch);
 * queue.finished(dispatch, tokensServed, now);
 * }</pre>
 *
 * @param <T> the type of the request
 */
public final class FairQueue<T> {

	/**
	 * Time for which an organisation counts as active after its last request was offered,
	 * started or finished, in nanoseconds.
	 */
	private static final long ACTIVE_WINDOW_NANOS = 10_000_000_000L;

	/** Organisations over their share may use the prefills divided by this. */
	private static final int OVER_SHARE_PREFILL_DIVISOR = 4;

	private final FairQueueSettings settings;

	private final Map<OrganisationId, OrganisationQueue<T>> queues = new HashMap<>();

	private final Set<T> prefilling = new HashSet<>();

	private final ServiceRate serviceRate;

	private double virtualTime;

	private long queuedTokens;

	private int queued;

	private int running;

	private FairQueue(FairQueueSettings settings, long nowNanos) {
		this.settings = settings;
		this.serviceRate = new ServiceRate(nowNanos);
	}

	/**
	 * Returns an empty queue.
	 * @param settings the settings
	 * @param nowNanos the time, in nanoseconds
	 * @param <T> the type of the request
	 * @return the queue
	 */
	public static <T> FairQueue<T> of(FairQueueSettings settings, long nowNanos) {
		return new FairQueue<>(settings, nowNanos);
	}

	/**
	 * Offers a request. It is rejected if its organisation's queue can't reach it before
	 * its deadline. If too many tokens wait, requests are shed: the newest of the lowest
	 * priority of the organisation with the most queued tokens for its weight.
	 * @param item the request
	 * @param organisation its organisation
	 * @param priority its priority
	 * @param costTokens its expected cost, in tokens; 1 for a plain service
	 * @param deadlineNanos its deadline, in nanoseconds
	 * @param nowNanos the time, in nanoseconds
	 * @return whether the request is queued, and which requests were shed
	 */
	public OfferResult<T> offer(T item, OrganisationId organisation, Priority priority, long costTokens,
			long deadlineNanos, long nowNanos) {
		Dispatch<T> dispatch = new Dispatch<>(item, organisation, priority, costTokens, deadlineNanos, nowNanos, false);
		OrganisationQueue<T> queue = queueFor(organisation);
		queue.lastActiveNanos = nowNanos;
		this.serviceRate.advance(this.queued > 0, nowNanos);
		long waitNanos = waitNanos(queue);
		if (waitNanos > 0 && nowNanos + waitNanos > deadlineNanos) {
			return new OfferResult<>(false, List.of(new OfferResult.Shed<>(item, waitNanos)));
		}
		append(queue, dispatch);
		List<OfferResult.Shed<T>> shed = shedExcess();
		boolean accepted = shed.stream().noneMatch((one) -> one.item() == item);
		return new OfferResult<>(accepted, shed);
	}

	/**
	 * Queues a request of which the caller has decided that it may wait. Nothing is
	 * rejected or shed.
	 * @param item the request
	 * @param organisation its organisation
	 * @param costTokens its expected cost, in tokens
	 * @param deadlineNanos its deadline, in nanoseconds
	 * @param nowNanos the time, in nanoseconds
	 */
	public void add(T item, OrganisationId organisation, long costTokens, long deadlineNanos, long nowNanos) {
		OrganisationQueue<T> queue = queueFor(organisation);
		queue.lastActiveNanos = nowNanos;
		this.serviceRate.advance(this.queued > 0, nowNanos);
		append(queue, new Dispatch<>(item, organisation, Priority.NORMAL, costTokens, deadlineNanos, nowNanos, false));
	}

	private void append(OrganisationQueue<T> queue, Dispatch<T> dispatch) {
		if (queue.isIdle()) {
			double credit = this.settings.burstTokens() / activeWeight(dispatch.offeredNanos());
			queue.virtualTime = Math.max(queue.virtualTime, this.virtualTime - credit);
		}
		queue.add(dispatch);
		count(dispatch, 1);
	}

	/**
	 * Dispatches the next request if a slot is free for it.
	 * @param nowNanos the time, in nanoseconds
	 * @return the request, or empty if none may start
	 */
	public Optional<Dispatch<T>> next(long nowNanos) {
		this.serviceRate.advance(this.queued > 0, nowNanos);
		int freeSlots = this.settings.slots() - this.running;
		if (freeSlots <= 0 || this.queued == 0 || this.prefilling.size() >= this.settings.maxPrefills()) {
			return Optional.empty();
		}
		double threshold = overShareThreshold(nowNanos);
		OrganisationQueue<T> best = null;
		for (OrganisationQueue<T> queue : this.queues.values()) {
			boolean mayStart = !queue.isEmpty() && (queue.virtualTime <= threshold || mayStartOverShare(freeSlots));
			if (mayStart && (best == null || isBefore(queue, best))) {
				best = queue;
			}
		}
		return (best != null) ? Optional.of(start(best, best.virtualTime > threshold, nowNanos)) : Optional.empty();
	}

	private boolean mayStartOverShare(int freeSlots) {
		int maxPrefills = this.settings.maxPrefills();
		boolean unbounded = maxPrefills >= this.settings.slots();
		boolean prefillAvailable = this.prefilling.size() < Math.max(1, maxPrefills / OVER_SHARE_PREFILL_DIVISOR);
		return freeSlots > this.settings.reservedSlots() && (unbounded || prefillAvailable);
	}

	/**
	 * Returns the virtual time above which an organisation is over its fair share: half
	 * of the burst credit above that of the least served active organisation.
	 * @param nowNanos the time, in nanoseconds
	 * @return the virtual time, in tokens per unit of weight
	 */
	private double overShareThreshold(long nowNanos) {
		double credit = this.settings.burstTokens() / activeWeight(nowNanos);
		double minVirtualTime = this.virtualTime - credit;
		double leastServed = Double.MAX_VALUE;
		for (OrganisationQueue<T> queue : this.queues.values()) {
			if (isActive(queue, nowNanos)) {
				leastServed = Math.min(leastServed, Math.max(minVirtualTime, queue.virtualTime));
			}
		}
		return leastServed + credit / 2;
	}

	private boolean isBefore(OrganisationQueue<T> queue, OrganisationQueue<T> other) {
		return startTag(queue) < startTag(other);
	}

	private double startTag(OrganisationQueue<T> queue) {
		int prioritySteps = Priority.LOW.ordinal() - queue.first().priority().ordinal();
		return queue.virtualTime - prioritySteps * this.settings.priorityStepTokens() / queue.weight;
	}

	private Dispatch<T> start(OrganisationQueue<T> queue, boolean overShare, long nowNanos) {
		this.virtualTime = Math.max(this.virtualTime, queue.virtualTime);
		Dispatch<T> dispatch = queue.takeFirst().withOverShare(overShare);
		this.prefilling.add(dispatch.item());
		queue.charge(dispatch.costTokens());
		queue.running++;
		queue.lastActiveNanos = nowNanos;
		this.running++;
		count(dispatch, -1);
		return dispatch;
	}

	/**
	 * Records that a dispatched request produced its first token, or that a plain service
	 * answered it.
	 * @param dispatch the request
	 */
	public void firstToken(Dispatch<T> dispatch) {
		this.prefilling.remove(dispatch.item());
	}

	/**
	 * Records that a dispatched request ended, and corrects its organisation's virtual
	 * time by the actual cost.
	 * @param dispatch the request
	 * @param servedTokens its actual cost, in tokens
	 * @param nowNanos the time, in nanoseconds
	 */
	public void finished(Dispatch<T> dispatch, long servedTokens, long nowNanos) {
		this.prefilling.remove(dispatch.item());
		OrganisationQueue<T> queue = queueFor(dispatch.organisation());
		queue.charge(servedTokens - dispatch.costTokens());
		queue.running = Math.max(0, queue.running - 1);
		queue.lastActiveNanos = nowNanos;
		this.running = Math.max(0, this.running - 1);
		this.serviceRate.advance(this.queued > 0, nowNanos);
		this.serviceRate.served(this.queued > 0, servedTokens);
		removeIdle(nowNanos);
	}

	/**
	 * Removes a waiting request.
	 * @param item the request
	 * @return whether the request was waiting; if so, it did not and will not run
	 */
	public boolean remove(T item) {
		for (OrganisationQueue<T> queue : this.queues.values()) {
			Optional<Dispatch<T>> removed = queue.remove(item);
			if (removed.isPresent()) {
				count(removed.get(), -1);
				return true;
			}
		}
		return false;
	}

	/**
	 * Removes the newest request of the lowest priority of the organisation with the most
	 * queued tokens for its weight.
	 * @return the request, or empty if none waits
	 */
	public Optional<T> removeMostOverShare() {
		if (this.queued == 0) {
			return Optional.empty();
		}
		Dispatch<T> dispatch = mostOverShare().takeLast();
		count(dispatch, -1);
		return Optional.of(dispatch.item());
	}

	/**
	 * Removes the requests whose deadline passed while they waited. Call this often, so
	 * that their callers are answered promptly.
	 * @param nowNanos the time, in nanoseconds
	 * @return the removed requests; none of them ran
	 */
	public List<Dispatch<T>> removeExpired(long nowNanos) {
		List<Dispatch<T>> expired = new ArrayList<>();
		this.queues.values().forEach((queue) -> queue.removeExpired(nowNanos, expired));
		expired.forEach((dispatch) -> count(dispatch, -1));
		return expired;
	}

	/**
	 * Returns the number of waiting requests.
	 * @return the count
	 */
	public int size() {
		return this.queued;
	}

	/**
	 * Returns the number of waiting requests that go before a new one of an organisation
	 * if all organisations with waiting requests are served in turn.
	 * @param organisation the organisation
	 * @return the count
	 */
	public int sizeAhead(OrganisationId organisation) {
		OrganisationQueue<T> own = this.queues.get(organisation);
		int ownSize = (own != null) ? own.size() : 0;
		int ahead = 0;
		for (OrganisationQueue<T> queue : this.queues.values()) {
			ahead += (queue == own) ? ownSize : Math.min(queue.size(), ownSize + 1);
		}
		return ahead;
	}

	/**
	 * Returns the expected cost of the waiting requests.
	 * @return the cost, in tokens
	 */
	public long queuedTokens() {
		return this.queuedTokens;
	}

	/**
	 * Returns the number of dispatched requests that have not ended.
	 * @return the count
	 */
	public int running() {
		return this.running;
	}

	private List<OfferResult.Shed<T>> shedExcess() {
		List<OfferResult.Shed<T>> shed = new ArrayList<>();
		while (this.queuedTokens > this.settings.maxQueuedTokens() && this.queued > 1) {
			OrganisationQueue<T> queue = mostOverShare();
			long retryAfterNanos = waitNanos(queue);
			Dispatch<T> dispatch = queue.takeLast();
			count(dispatch, -1);
			shed.add(new OfferResult.Shed<>(dispatch.item(), retryAfterNanos));
		}
		return shed;
	}

	private OrganisationQueue<T> mostOverShare() {
		OrganisationQueue<T> most = null;
		for (OrganisationQueue<T> queue : this.queues.values()) {
			boolean isMore = most == null || queue.queuedTokens / queue.weight > most.queuedTokens / most.weight;
			if (!queue.isEmpty() && isMore) {
				most = queue;
			}
		}
		return most;
	}

	private long waitNanos(OrganisationQueue<T> queue) {
		double share = queue.weight / Math.max(queue.weight, backloggedWeight());
		return this.serviceRate.nanosToServe(queue.queuedTokens / share);
	}

	private double backloggedWeight() {
		double weight = 0;
		for (OrganisationQueue<T> queue : this.queues.values()) {
			weight += queue.isEmpty() ? 0 : queue.weight;
		}
		return weight;
	}

	private double activeWeight(long nowNanos) {
		double weight = 0;
		for (OrganisationQueue<T> queue : this.queues.values()) {
			weight += isActive(queue, nowNanos) ? queue.weight : 0;
		}
		return weight;
	}

	private boolean isActive(OrganisationQueue<T> queue, long nowNanos) {
		return !queue.isIdle() || nowNanos - queue.lastActiveNanos < ACTIVE_WINDOW_NANOS;
	}

	private OrganisationQueue<T> queueFor(OrganisationId organisation) {
		OrganisationQueue<T> queue = this.queues.get(organisation);
		if (queue == null) {
			queue = new OrganisationQueue<>(this.settings.weights().weight(organisation), this.virtualTime);
			this.queues.put(organisation, queue);
		}
		return queue;
	}

	private void count(Dispatch<T> dispatch, int sign) {
		this.queued += sign;
		this.queuedTokens += sign * dispatch.costTokens();
	}

	private void removeIdle(long nowNanos) {
		for (Iterator<OrganisationQueue<T>> iterator = this.queues.values().iterator(); iterator.hasNext();) {
			OrganisationQueue<T> queue = iterator.next();
			boolean inactive = nowNanos - queue.lastActiveNanos >= ACTIVE_WINDOW_NANOS;
			if (inactive && queue.isIdle() && queue.virtualTime <= this.virtualTime) {
				iterator.remove();
			}
		}
	}

}
