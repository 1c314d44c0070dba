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
 * Weighted fair queueing of requests over organisations by tokens served, after
 * start-time fair queueing (Goyal, Vin and Cheng, 1996). One thread owns it.
 *
 * <pre>{@code
 * FairQueue<Call> queue = FairQueue.of(FairQueueSettings.of(64, weights), now);
 * Offer<Call> offer = queue.offer(call, organisation, priority, tokens, deadline, now);
 * queue.next(now).ifPresent((dispatch) -> start(dispatch.item()));
 * queue.firstToken(dispatch);
 * queue.finished(dispatch, tokensServed, now);
 * }</pre>
 *
 * @param <T> the kind of request
 */
public final class FairQueue<T> {

	/** An organisation counts as active for this long after it was last seen. */
	private static final long ACTIVE_WINDOW_NANOS = 10_000_000_000L;

	/** An organisation over its share may use one of so many parts of the prefills. */
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
	 * @param settings how to queue
	 * @param nowNanos the time, in nanoseconds
	 * @param <T> the kind of request
	 * @return the queue
	 */
	public static <T> FairQueue<T> of(FairQueueSettings settings, long nowNanos) {
		return new FairQueue<>(settings, nowNanos);
	}

	/**
	 * Offers a request. If too much waits, the newest request of lowest priority of the
	 * organisation most over its share is shed.
	 * @param item the request
	 * @param organisation its organisation
	 * @param priority its priority
	 * @param costTokens its expected cost, in tokens; 1 for a plain service
	 * @param deadlineNanos when its caller gives up, in nanoseconds
	 * @param nowNanos the time, in nanoseconds
	 * @return whether it is queued, and what was shed
	 */
	public OfferResult<T> offer(T item, OrganisationId organisation, Priority priority, long costTokens,
			long deadlineNanos, long nowNanos) {
		Dispatch<T> dispatch = new Dispatch<>(item, organisation, priority, costTokens, deadlineNanos, nowNanos, false);
		OrganisationQueue<T> line = queueFor(organisation);
		line.lastActiveNanos = nowNanos;
		this.serviceRate.advance(this.queued > 0, nowNanos);
		long waitNanos = waitNanos(line);
		if (waitNanos > 0 && nowNanos + waitNanos > deadlineNanos) {
			return new OfferResult<>(false, List.of(new OfferResult.Shed<>(item, waitNanos)));
		}
		if (line.isIdle()) {
			double credit = this.settings.burstTokens() / activeWeight(nowNanos);
			line.virtualTime = Math.max(line.virtualTime, this.virtualTime - credit);
		}
		line.add(dispatch);
		count(dispatch, 1);
		List<OfferResult.Shed<T>> shed = shedExcess();
		boolean accepted = shed.stream().noneMatch((one) -> one.item() == item);
		return new OfferResult<>(accepted, shed);
	}

	/**
	 * Hands out the next request if a slot is free for it.
	 * @param nowNanos the time, in nanoseconds
	 * @return the request, or empty if none may start
	 */
	public Optional<Dispatch<T>> next(long nowNanos) {
		this.serviceRate.advance(this.queued > 0, nowNanos);
		int free = this.settings.slots() - this.running;
		if (free <= 0 || this.queued == 0 || this.prefilling.size() >= this.settings.maxPrefills()) {
			return Optional.empty();
		}
		double bound = overShareThreshold(nowNanos);
		OrganisationQueue<T> best = null;
		for (OrganisationQueue<T> line : this.queues.values()) {
			boolean mayStart = !line.isEmpty() && (line.virtualTime <= bound || mayStartOverShare(free));
			if (mayStart && (best == null || isBefore(line, best))) {
				best = line;
			}
		}
		return Optional.ofNullable(best).map((line) -> start(line, line.virtualTime > bound, nowNanos));
	}

	private boolean mayStartOverShare(int free) {
		int prefills = this.settings.maxPrefills();
		boolean unbounded = prefills >= this.settings.slots();
		boolean hasPrefill = this.prefilling.size() < Math.max(1, prefills / OVER_SHARE_PREFILL_DIVISOR);
		return free > this.settings.reservedSlots() && (unbounded || hasPrefill);
	}

	/**
	 * Returns the account above which an organisation had more than its share: half of
	 * what an organisation may catch up on beyond the least served one.
	 * @param nowNanos the time, in nanoseconds
	 * @return tokens for each unit of weight
	 */
	private double overShareThreshold(long nowNanos) {
		double credit = this.settings.burstTokens() / activeWeight(nowNanos);
		double floor = this.virtualTime - credit;
		double least = Double.MAX_VALUE;
		for (OrganisationQueue<T> line : this.queues.values()) {
			if (isActive(line, nowNanos)) {
				least = Math.min(least, Math.max(floor, line.virtualTime));
			}
		}
		return least + credit / 2;
	}

	private boolean isBefore(OrganisationQueue<T> line, OrganisationQueue<T> other) {
		return startTag(line) < startTag(other);
	}

	private double startTag(OrganisationQueue<T> line) {
		int steps = Priority.LOW.ordinal() - line.first().priority().ordinal();
		return line.virtualTime - steps * this.settings.priorityStepTokens() / line.weight;
	}

	private Dispatch<T> start(OrganisationQueue<T> line, boolean overShare, long nowNanos) {
		this.virtualTime = Math.max(this.virtualTime, line.virtualTime);
		Dispatch<T> dispatch = line.takeFirst().withOverShare(overShare);
		this.prefilling.add(dispatch.item());
		line.charge(dispatch.costTokens());
		line.running++;
		line.lastActiveNanos = nowNanos;
		this.running++;
		count(dispatch, -1);
		return dispatch;
	}

	/**
	 * Notes that a request handed out has its first token, or a plain service's answer.
	 * @param dispatch the request
	 */
	public void firstToken(Dispatch<T> dispatch) {
		this.prefilling.remove(dispatch.item());
	}

	/**
	 * Notes that a request handed out has ended, and corrects its organisation's account.
	 * @param dispatch the request
	 * @param servedTokens what it cost in fact, in tokens
	 * @param nowNanos the time, in nanoseconds
	 */
	public void finished(Dispatch<T> dispatch, long servedTokens, long nowNanos) {
		this.prefilling.remove(dispatch.item());
		OrganisationQueue<T> line = queueFor(dispatch.organisation());
		line.charge(servedTokens - dispatch.costTokens());
		line.running = Math.max(0, line.running - 1);
		line.lastActiveNanos = nowNanos;
		this.running = Math.max(0, this.running - 1);
		this.serviceRate.advance(this.queued > 0, nowNanos);
		this.serviceRate.served(this.queued > 0, servedTokens);
		removeIdle(nowNanos);
	}

	/**
	 * Removes a request that waits.
	 * @param item the request
	 * @return whether it was there; if so it did not and will not run
	 */
	public boolean remove(T item) {
		for (OrganisationQueue<T> line : this.queues.values()) {
			Optional<Dispatch<T>> removed = line.remove(item);
			if (removed.isPresent()) {
				count(removed.get(), -1);
				return true;
			}
		}
		return false;
	}

	/**
	 * Removes the requests whose deadline passed while they waited. To be called often,
	 * so that each is answered at once.
	 * @param nowNanos the time, in nanoseconds
	 * @return the requests; none of them ran
	 */
	public List<Dispatch<T>> removeExpired(long nowNanos) {
		List<Dispatch<T>> expired = new ArrayList<>();
		this.queues.values().forEach((line) -> line.removeExpired(nowNanos, expired));
		expired.forEach((dispatch) -> count(dispatch, -1));
		return expired;
	}

	/**
	 * Returns how many requests wait.
	 * @return the count
	 */
	public int size() {
		return this.queued;
	}

	/**
	 * Returns the tokens that wait.
	 * @return tokens
	 */
	public long queuedTokens() {
		return this.queuedTokens;
	}

	/**
	 * Returns how many requests are handed out and have not ended.
	 * @return the count
	 */
	public int running() {
		return this.running;
	}

	private List<OfferResult.Shed<T>> shedExcess() {
		List<OfferResult.Shed<T>> shed = new ArrayList<>();
		while (this.queuedTokens > this.settings.maxQueuedTokens() && this.queued > 1) {
			OrganisationQueue<T> line = mostOverShare();
			long retryAfter = waitNanos(line);
			Dispatch<T> dispatch = line.takeLast();
			count(dispatch, -1);
			shed.add(new OfferResult.Shed<>(dispatch.item(), retryAfter));
		}
		return shed;
	}

	private OrganisationQueue<T> mostOverShare() {
		OrganisationQueue<T> most = null;
		for (OrganisationQueue<T> line : this.queues.values()) {
			boolean more = most == null || line.queuedTokens / line.weight > most.queuedTokens / most.weight;
			if (!line.isEmpty() && more) {
				most = line;
			}
		}
		return most;
	}

	private long waitNanos(OrganisationQueue<T> line) {
		double share = line.weight / Math.max(line.weight, backloggedWeight());
		return this.serviceRate.nanosToServe(line.queuedTokens / share);
	}

	private double backloggedWeight() {
		double sum = 0;
		for (OrganisationQueue<T> line : this.queues.values()) {
			sum += line.isEmpty() ? 0 : line.weight;
		}
		return sum;
	}

	private double activeWeight(long nowNanos) {
		double sum = 0;
		for (OrganisationQueue<T> line : this.queues.values()) {
			sum += isActive(line, nowNanos) ? line.weight : 0;
		}
		return sum;
	}

	private boolean isActive(OrganisationQueue<T> line, long nowNanos) {
		return !line.isIdle() || nowNanos - line.lastActiveNanos < ACTIVE_WINDOW_NANOS;
	}

	private OrganisationQueue<T> queueFor(OrganisationId organisation) {
		return this.queues.computeIfAbsent(organisation,
				(id) -> new OrganisationQueue<>(this.settings.weights().weight(id), this.virtualTime));
	}

	private void count(Dispatch<T> dispatch, int sign) {
		this.queued += sign;
		this.queuedTokens += sign * dispatch.costTokens();
	}

	private void removeIdle(long nowNanos) {
		for (Iterator<OrganisationQueue<T>> iterator = this.queues.values().iterator(); iterator.hasNext();) {
			OrganisationQueue<T> line = iterator.next();
			boolean old = nowNanos - line.lastActiveNanos >= ACTIVE_WINDOW_NANOS;
			if (old && line.isIdle() && line.virtualTime <= this.virtualTime) {
				iterator.remove();
			}
		}
	}

}
