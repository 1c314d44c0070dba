package io.bulrushrouter.routing;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Iterator;
import java.util.List;
import java.util.Optional;

import io.bulrushrouter.kernel.Priority;

/**
 * The waiting requests of one organisation, in order of priority, and the organisation's
 * virtual time.
 *
 * @param <T> the type of the request
 */
final class OrganisationQueue<T> {

	final double weight;

	double virtualTime;

	long queuedTokens;

	int running;

	long lastActiveNanos;

	private final List<ArrayDeque<Dispatch<T>>> byPriority = new ArrayList<>();

	private int size;

	OrganisationQueue(double weight, double virtualTime) {
		this.weight = weight;
		this.virtualTime = virtualTime;
		for (int i = 0; i < Priority.values().length; i++) {
			this.byPriority.add(new ArrayDeque<>());
		}
	}

	int size() {
		return this.size;
	}

	boolean isEmpty() {
		return this.size == 0;
	}

	boolean isIdle() {
		return this.size == 0 && this.running == 0;
	}

	void add(Dispatch<T> dispatch) {
		this.byPriority.get(dispatch.priority().ordinal()).addLast(dispatch);
		count(dispatch, 1);
	}

	void charge(long tokens) {
		this.virtualTime += tokens / this.weight;
	}

	Dispatch<T> first() {
		for (ArrayDeque<Dispatch<T>> queue : this.byPriority) {
			if (!queue.isEmpty()) {
				return queue.peekFirst();
			}
		}
		throw new IllegalStateException("the queue of the organisation is empty");
	}

	Dispatch<T> takeFirst() {
		Dispatch<T> dispatch = first();
		this.byPriority.get(dispatch.priority().ordinal()).removeFirst();
		count(dispatch, -1);
		return dispatch;
	}

	Dispatch<T> takeLast() {
		for (int i = this.byPriority.size() - 1; i >= 0; i--) {
			Dispatch<T> dispatch = this.byPriority.get(i).pollLast();
			if (dispatch != null) {
				count(dispatch, -1);
				return dispatch;
			}
		}
		throw new IllegalStateException("the queue of the organisation is empty");
	}

	Optional<Dispatch<T>> remove(T item) {
		for (ArrayDeque<Dispatch<T>> queue : this.byPriority) {
			for (Iterator<Dispatch<T>> iterator = queue.iterator(); iterator.hasNext();) {
				Dispatch<T> dispatch = iterator.next();
				if (dispatch.item().equals(item)) {
					iterator.remove();
					count(dispatch, -1);
					return Optional.of(dispatch);
				}
			}
		}
		return Optional.empty();
	}

	void removeExpired(long nowNanos, List<Dispatch<T>> expired) {
		for (ArrayDeque<Dispatch<T>> queue : this.byPriority) {
			for (Iterator<Dispatch<T>> iterator = queue.iterator(); iterator.hasNext();) {
				Dispatch<T> dispatch = iterator.next();
				if (dispatch.deadlineNanos() <= nowNanos) {
					iterator.remove();
					count(dispatch, -1);
					expired.add(dispatch);
				}
			}
		}
	}

	private void count(Dispatch<T> dispatch, int sign) {
		this.size += sign;
		this.queuedTokens += sign * dispatch.costTokens();
	}

}
