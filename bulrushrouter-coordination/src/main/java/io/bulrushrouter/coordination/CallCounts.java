package io.bulrushrouter.coordination;

/**
 * The calls of one {@link BudgetedStore} since its start.
 *
 * @param reads reads and lists that were sent
 * @param watches watches that were sent
 * @param writes writes that were sent
 * @param failed calls that were sent and not answered
 * @param overBudget calls that were not sent, since the budget was spent
 * @param backedOff calls that were not sent, since an earlier one failed
 */
public record CallCounts(long reads, long watches, long writes, long failed, long overBudget, long backedOff) {

	static final CallCounts NONE = new CallCounts(0, 0, 0, 0, 0, 0);

	/**
	 * Returns how many calls were sent.
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
