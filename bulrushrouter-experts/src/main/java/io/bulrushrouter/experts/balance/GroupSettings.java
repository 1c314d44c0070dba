package io.bulrushrouter.experts.balance;

import java.time.Duration;
import java.util.Arrays;

import io.bulrushrouter.experts.planning.ExpertPlanner;
import io.bulrushrouter.experts.planning.ExpertPlanners;
import io.bulrushrouter.experts.planning.PlanProfile;
import io.bulrushrouter.experts.planning.PlanRequest;

/**
 * The balancing settings of a group.
 *
 * @param planner the planner
 * @param profile the trade-off between skew and cost
 * @param weights the size of an expert's weights and the transfer rate of their store
 * @param instances the index of each rank's instance
 * @param planPeriod the interval between plans
 * @param moveAfter the time for which a rank is slow before its experts are moved
 * @param replaceAfter the time for which a rank is slow before its replacement is
 * requested
 */
public record GroupSettings(ExpertPlanner planner, PlanProfile profile, PlanRequest.WeightStore weights,
		int[] instances, Duration planPeriod, Duration moveAfter, Duration replaceAfter) {

	/**
	 * Creates a builder with default settings.
	 * @param ranks the number of ranks
	 * @return the builder
	 */
	public static Builder builder(int ranks) {
		return new Builder(ranks);
	}

	/**
	 * Builds settings. The defaults are the fitted planner, the low-skew profile, a plan
	 * every 15 s and eight ranks per instance.
	 */
	public static final class Builder {

		private static final int RANKS_PER_INSTANCE = 8;

		private ExpertPlanner planner = ExpertPlanners.ofFitted();

		private PlanProfile profile = PlanProfile.ofLowSkew();

		private PlanRequest.WeightStore weights = new PlanRequest.WeightStore(44_040_192, 8e9);

		private int[] instances;

		private Duration planPeriod = Duration.ofSeconds(15);

		private Duration moveAfter = Duration.ofSeconds(30);

		private Duration replaceAfter = Duration.ofMinutes(10);

		private Builder(int ranks) {
			this.instances = new int[ranks];
			Arrays.setAll(this.instances, (rank) -> rank / RANKS_PER_INSTANCE);
		}

		/**
		 * Sets the planner.
		 * @param newPlanner the planner
		 * @return this builder
		 */
		public Builder planner(ExpertPlanner newPlanner) {
			this.planner = newPlanner;
			return this;
		}

		/**
		 * Sets the profile.
		 * @param newProfile the profile
		 * @return this builder
		 */
		public Builder profile(PlanProfile newProfile) {
			this.profile = newProfile;
			return this;
		}

		/**
		 * Sets the weight store.
		 * @param newWeights the size of an expert's weights and the transfer rate of the
		 * store
		 * @return this builder
		 */
		public Builder weights(PlanRequest.WeightStore newWeights) {
			this.weights = newWeights;
			return this;
		}

		/**
		 * Sets the instance of each rank.
		 * @param newInstances the index of the instance of each rank
		 * @return this builder
		 */
		public Builder instances(int... newInstances) {
			this.instances = newInstances.clone();
			return this;
		}

		/**
		 * Sets the interval between plans.
		 * @param period the interval
		 * @return this builder
		 */
		public Builder planPeriod(Duration period) {
			this.planPeriod = period;
			return this;
		}

		/**
		 * Sets the delays before a slow rank gets more than smaller token shares.
		 * @param move the time for which it is slow before its experts are moved
		 * @param replace the time for which it is slow before its replacement is
		 * requested
		 * @return this builder
		 */
		public Builder stragglers(Duration move, Duration replace) {
			this.moveAfter = move;
			this.replaceAfter = replace;
			return this;
		}

		/**
		 * Builds the settings.
		 * @return the settings
		 */
		public GroupSettings build() {
			return new GroupSettings(this.planner, this.profile, this.weights, this.instances, this.planPeriod,
					this.moveAfter, this.replaceAfter);
		}

	}

}
