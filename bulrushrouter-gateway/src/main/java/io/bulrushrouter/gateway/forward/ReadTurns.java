package io.bulrushrouter.gateway.forward;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.function.Consumer;

/**
 * Lets connections whose reads take much work be read one after the other. All other
 * connections are read in between, so that they wait for one costly read at most. Not
 * thread-safe.
 */
final class ReadTurns {

	/**
	 * Lines in the bytes of one read from which on the next read waits for its turn. The
	 * work of a read grows with its lines, two of which frame each chunk.
	 */
	static final int MAX_LINES = 128;

	private final Consumer<Runnable> scheduler;

	private final Deque<Runnable> waiting = new ArrayDeque<>();

	private boolean scheduled;

	/**
	 * Creates turns of which none is taken.
	 * @param scheduler runs a task once the event loop has looked at all connections
	 */
	ReadTurns(Consumer<Runnable> scheduler) {
		this.scheduler = scheduler;
	}

	/**
	 * Waits for a turn behind those that wait already.
	 * @param turn resumes reading
	 */
	void await(Runnable turn) {
		this.waiting.add(turn);
		schedule();
	}

	private void schedule() {
		if (!this.scheduled && !this.waiting.isEmpty()) {
			this.scheduled = true;
			this.scheduler.accept(this::next);
		}
	}

	private void next() {
		this.scheduled = false;
		Runnable turn = this.waiting.poll();
		schedule();
		if (turn != null) {
			turn.run();
		}
	}

	/**
	 * Returns how many connections wait for their turn.
	 * @return the number
	 */
	int size() {
		return this.waiting.size();
	}

}
