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
	private static final long ACTIVE_NANOS = 10_000_000_000L;

	/** An organisation over its share may use one of so many parts of the prefills. */
	private static final int PREFILL_PARTS = 4;

	private final FairQueueSettings settings;

	private final Map<OrganisationId, Line<T>> lines = new HashMap<>();

	private final Set<T> prefilling = new HashSet<>();

	private final ServiceRate rate;

	private double virtualTokens;

	private long queuedTokens;

	private int queued;

	private int running;

	private FairQueue(FairQueueSettings settings, long nowNanos) {
		this.settings = settings;
		this.rate = new ServiceRate(nowNanos);
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
	public Offer<T> offer(T item, OrganisationId organisation, Priority priority, long costTokens, long deadlineNanos,
			long nowNanos) {
		Dispatch<T> dispatch = new Dispatch<>(item, organisation, priority, costTokens, deadlineNanos, nowNanos, false);
		Line<T> line = line(organisation);
		line.seenNanos = nowNanos;
		this.rate.advance(this.queued > 0, nowNanos);
		long waitNanos = waitNanos(line);
		if (waitNanos > 0 && nowNanos + waitNanos > deadlineNanos) {
			return new Offer<>(false, List.of(new Offer.Shed<>(item, waitNanos)));
		}
		if (line.isIdle()) {
			double credit = this.settings.burstTokens() / activeWeight(nowNanos);
			line.virtualTokens = Math.max(line.virtualTokens, this.virtualTokens - credit);
		}
		line.add(dispatch);
		count(dispatch, 1);
		List<Offer.Shed<T>> shed = shed();
		boolean accepted = shed.stream().noneMatch((one) -> one.item() == item);
		return new Offer<>(accepted, shed);
	}

	/**
	 * Hands out the next request if a slot is free for it.
	 * @param nowNanos the time, in nanoseconds
	 * @return the request, or empty if none may start
	 */
	public Optional<Dispatch<T>> next(long nowNanos) {
		this.rate.advance(this.queued > 0, nowNanos);
		int free = this.settings.slots() - this.running;
		if (free <= 0 || this.queued == 0 || this.prefilling.size() >= this.settings.prefills()) {
			return Optional.empty();
		}
		double bound = shareBound(nowNanos);
		Line<T> best = null;
		for (Line<T> line : this.lines.values()) {
			boolean mayStart = !line.isEmpty() && (line.virtualTokens <= bound || mayStartOverShare(free));
			if (mayStart && (best == null || isBefore(line, best))) {
				best = line;
			}
		}
		return Optional.ofNullable(best).map((line) -> start(line, line.virtualTokens > bound, nowNanos));
	}

	private boolean mayStartOverShare(int free) {
		int prefills = this.settings.prefills();
		boolean unbounded = prefills >= this.settings.slots();
		boolean hasPrefill = this.prefilling.size() < Math.max(1, prefills / PREFILL_PARTS);
		return free > this.settings.reservedSlots() && (unbounded || hasPrefill);
	}

	/**
	 * Returns the account above which an organisation had more than its share: half of
	 * what an organisation may catch up on beyond the least served one.
	 * @param nowNanos the time, in nanoseconds
	 * @return tokens for each unit of weight
	 */
	private double shareBound(long nowNanos) {
		double credit = this.settings.burstTokens() / activeWeight(nowNanos);
		double floor = this.virtualTokens - credit;
		double least = Double.MAX_VALUE;
		for (Line<T> line : this.lines.values()) {
			if (isActive(line, nowNanos)) {
				least = Math.min(least, Math.max(floor, line.virtualTokens));
			}
		}
		return least + credit / 2;
	}

	private boolean isBefore(Line<T> line, Line<T> other) {
		return startTag(line) < startTag(other);
	}

	private double startTag(Line<T> line) {
		int steps = Priority.LOW.ordinal() - line.first().priority().ordinal();
		return line.virtualTokens - steps * this.settings.priorityTokens() / line.weight;
	}

	private Dispatch<T> start(Line<T> line, boolean overShare, long nowNanos) {
		this.virtualTokens = Math.max(this.virtualTokens, line.virtualTokens);
		Dispatch<T> dispatch = line.takeFirst().over(overShare);
		this.prefilling.add(dispatch.item());
		line.charge(dispatch.costTokens());
		line.running++;
		line.seenNanos = nowNanos;
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
		Line<T> line = line(dispatch.organisation());
		line.charge(servedTokens - dispatch.costTokens());
		line.running = Math.max(0, line.running - 1);
		line.seenNanos = nowNanos;
		this.running = Math.max(0, this.running - 1);
		this.rate.advance(this.queued > 0, nowNanos);
		this.rate.served(this.queued > 0, servedTokens);
		forgetIdle(nowNanos);
	}

	/**
	 * Removes a request that waits.
	 * @param item the request
	 * @return whether it was there; if so it did not and will not run
	 */
	public boolean remove(T item) {
		for (Line<T> line : this.lines.values()) {
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
	public List<Dispatch<T>> expired(long nowNanos) {
		List<Dispatch<T>> expired = new ArrayList<>();
		this.lines.values().forEach((line) -> line.removeExpired(nowNanos, expired));
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

	private List<Offer.Shed<T>> shed() {
		List<Offer.Shed<T>> shed = new ArrayList<>();
		while (this.queuedTokens > this.settings.maxQueuedTokens() && this.queued > 1) {
			Line<T> line = mostOverShare();
			long retryAfter = waitNanos(line);
			Dispatch<T> dispatch = line.takeLast();
			count(dispatch, -1);
			shed.add(new Offer.Shed<>(dispatch.item(), retryAfter));
		}
		return shed;
	}

	private Line<T> mostOverShare() {
		Line<T> most = null;
		for (Line<T> line : this.lines.values()) {
			boolean more = most == null || line.queuedTokens / line.weight > most.queuedTokens / most.weight;
			if (!line.isEmpty() && more) {
				most = line;
			}
		}
		return most;
	}

	private long waitNanos(Line<T> line) {
		double share = line.weight / Math.max(line.weight, backloggedWeight());
		return this.rate.nanosFor(line.queuedTokens / share);
	}

	private double backloggedWeight() {
		double sum = 0;
		for (Line<T> line : this.lines.values()) {
			sum += line.isEmpty() ? 0 : line.weight;
		}
		return sum;
	}

	private double activeWeight(long nowNanos) {
		double sum = 0;
		for (Line<T> line : this.lines.values()) {
			sum += isActive(line, nowNanos) ? line.weight : 0;
		}
		return sum;
	}

	private boolean isActive(Line<T> line, long nowNanos) {
		return !line.isIdle() || nowNanos - line.seenNanos < ACTIVE_NANOS;
	}

	private Line<T> line(OrganisationId organisation) {
		return this.lines.computeIfAbsent(organisation,
				(id) -> new Line<>(this.settings.weights().weight(id), this.virtualTokens));
	}

	private void count(Dispatch<T> dispatch, int sign) {
		this.queued += sign;
		this.queuedTokens += sign * dispatch.costTokens();
	}

	private void forgetIdle(long nowNanos) {
		for (Iterator<Line<T>> iterator = this.lines.values().iterator(); iterator.hasNext();) {
			Line<T> line = iterator.next();
			boolean old = nowNanos - line.seenNanos >= ACTIVE_NANOS;
			if (old && line.isIdle() && line.virtualTokens <= this.virtualTokens) {
				iterator.remove();
			}
		}
	}

}
