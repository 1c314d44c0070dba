package io.bulrushrouter.routing;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;

/**
 * Keeps the upstreams with the lowest costs among those offered, lowest first, up to a
 * capacity.
 */
final class Shortlist {

	private final UpstreamView[] views;

	private final double[] costs;

	private int size;

	Shortlist(int capacity) {
		this.views = new UpstreamView[capacity];
		this.costs = new double[capacity];
	}

	void offer(UpstreamView view, double cost) {
		int last = this.costs.length - 1;
		boolean full = this.size > last;
		if ((full && (last < 0 || cost >= this.costs[last])) || contains(view)) {
			return;
		}
		int position = full ? last : this.size;
		while (position > 0 && this.costs[position - 1] > cost) {
			this.costs[position] = this.costs[position - 1];
			this.views[position] = this.views[position - 1];
			position--;
		}
		this.costs[position] = cost;
		this.views[position] = view;
		this.size = Math.min(this.size + 1, this.costs.length);
	}

	private boolean contains(UpstreamView view) {
		for (int i = 0; i < this.size; i++) {
			if (this.views[i] == view) {
				return true;
			}
		}
		return false;
	}

	boolean isEmpty() {
		return this.size == 0;
	}

	int size() {
		return this.size;
	}

	UpstreamView view(int index) {
		return this.views[index];
	}

	List<Candidate> candidates() {
		List<Candidate> list = new ArrayList<>(this.size);
		for (int i = 0; i < this.size; i++) {
			list.add(new Candidate(this.views[i].id(), this.costs[i]));
		}
		return Collections.unmodifiableList(list);
	}

}
