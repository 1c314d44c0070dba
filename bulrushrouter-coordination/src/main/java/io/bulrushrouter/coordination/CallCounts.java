package io.bulrushrouter.coordination;

/**
 * The numbers of calls of one {@link BudgetedStore} since its creation.
 *
 * @param reads the reads and lists that were sent
 * @param watches the watches that were sent
 * @param writes the writes that were sent
 * @param failed the calls that were sent and failed or were not answered
 * @param overBudget the calls that were not sent because the budget was exhausted
 * @param backedOff the calls that were not sent because of the backoff after a failure
 */
public record CallCounts(long reads, long watches, long writes, long failed, long overBudget, long backedOff) {

	static final CallCounts NONE = new CallCounts(0, 0, 0, 0, 0, 0);

	/**
	 * Returns the number of calls that were sent.
	 * @return the sum of reads, watches and writes
	 */
	public long sent() {
		return this.reads + this.watches + this.writes;
	}

	CallCounts withRead() {
		return new CallCounts(this.reads + 1, this.watches, this.writes, this.failed, this.overBudget, this.backedOff);
	}

	CallCounts withWatch() {
		return new CallCounts(this.reads, this.watches + 1, this.writes, this.failed, this.overBudget, this.backedOff);
	}

	CallCounts withWrite() {
		return new CallCounts(this.reads, this.watches, this.writes + 1, this.failed, this.overBudget, this.backedOff);
	}

	CallCounts withFailure() {
		return new CallCounts(this.reads, this.watches, this.writes, this.failed + 1, this.overBudget, this.backedOff);
	}

	CallCounts with(CallLimiter.Admission refusal) {
		boolean budget = refusal == CallLimiter.Admission.OVER_BUDGET;
		return new CallCounts(this.reads, this.watches, this.writes, this.failed, this.overBudget + (budget ? 1 : 0),
				this.backedOff + (budget ? 0 : 1));
	}

}
