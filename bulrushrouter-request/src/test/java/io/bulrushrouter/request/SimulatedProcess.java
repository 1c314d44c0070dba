package io.bulrushrouter.request;

import java.util.ArrayDeque;
import java.util.Deque;

/**
 * A simulated process that can be paused, and can die and restart as another incarnation.
 */
abstract class SimulatedProcess {

	static final long RESTART_MILLIS = 20;

	final SimulatedSystem system;

	long incarnation;

	boolean alive = true;

	private final Deque<Runnable> backlog = new ArrayDeque<>();

	private long pausedUntilNanos;

	private boolean draining;

	SimulatedProcess(SimulatedSystem system) {
		this.system = system;
		this.incarnation = system.nextIncarnation();
	}

	// Runs a task in the current incarnation, after a pause if there is one.
	final void deliver(Runnable task) {
		this.backlog.add(task);
		drainBacklog();
	}

	private void drainBacklog() {
		while (!this.backlog.isEmpty() && !this.draining && this.system.clock.nowNanos() >= this.pausedUntilNanos) {
			Runnable task = this.backlog.poll();
			this.draining = true;
			if (this.alive) {
				task.run();
			}
			this.draining = false;
		}
	}

	// Runs a task unless this incarnation has died by then.
	final void deliverToIncarnation(Runnable task) {
		long expected = this.incarnation;
		deliver(() -> {
			if (this.incarnation == expected) {
				task.run();
			}
		});
	}

	final void wakeAt(long nanos, Runnable task) {
		long expected = this.incarnation;
		this.system.clock.at(nanos, () -> {
			if (this.incarnation == expected) {
				deliverToIncarnation(task);
			}
		});
	}

	final void pause(long millis) {
		this.pausedUntilNanos = this.system.clock.nowNanos() + millis * SimulatedClock.MILLIS;
		this.system.clock.at(this.pausedUntilNanos, this::drainBacklog);
	}

	final void die() {
		if (!this.alive) {
			return;
		}
		this.alive = false;
		this.incarnation = this.system.nextIncarnation();
		this.pausedUntilNanos = 0;
		this.backlog.clear();
		onDeath();
		this.system.clock.after(RESTART_MILLIS, () -> {
			this.alive = true;
			onRestart();
		});
	}

	abstract void onDeath();

	abstract void onRestart();

}
