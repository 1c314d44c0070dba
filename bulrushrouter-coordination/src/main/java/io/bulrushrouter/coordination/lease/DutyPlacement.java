package io.bulrushrouter.coordination.lease;

import java.util.Comparator;
import java.util.List;
import java.util.function.Predicate;

import com.dynatrace.hash4j.hashing.Hashing;

import io.bulrushrouter.kernel.DataCentreId;
import io.bulrushrouter.kernel.InstanceId;
import io.bulrushrouter.kernel.store.LiveInstance;

/**
 * Assigns duties, the named background tasks that one or a few instances run, to
 * instances by rendezvous hashing. Every process computes the same order from the same
 * list. The list may be out of date and differ between processes, so several instances or
 * none may consider themselves preferred; a lease, or a duty that is safe to run more
 * than once, must tolerate this.
 *
 * <p>
 * When an instance joins or leaves, only the duties that it gains or loses move.
 *
 * @see <a href="https://doi.org/10.1109/90.663936">Thaler and Ravishankar, Using
 * Name-Based Mappings to Increase Hit Rates (1998)</a>
 */
public final class DutyPlacement {

	private DutyPlacement() {
	}

	/**
	 * Returns the instances in order of preference for a duty.
	 * @param duty the duty's name
	 * @param instances the instances; those that are leaving are skipped
	 * @return the instances, the preferred holder first
	 */
	public static List<LiveInstance> ranked(String duty, List<LiveInstance> instances) {
		long seed = Hashing.komihash5_0().hashCharsToLong(duty);
		return instances.stream()
			.filter((instance) -> !instance.leaving())
			.map((instance) -> new Scored(score(seed, instance.instance()), instance))
			.sorted(Scored.HIGHEST_FIRST)
			.map(Scored::instance)
			.toList();
	}

	/**
	 * Returns the preferred holders of a duty.
	 * @param duty the duty's name
	 * @param instances the instances
	 * @param limit the maximum number of holders
	 * @return the instances, the most preferred first
	 */
	public static List<LiveInstance> preferred(String duty, List<LiveInstance> instances, int limit) {
		return ranked(duty, instances).stream().limit(limit).toList();
	}

	/**
	 * Returns the preferred holders of a duty within one data centre.
	 * @param duty the duty's name
	 * @param dataCentre the data centre
	 * @param instances the instances of all data centres
	 * @param limit the maximum number of holders
	 * @return the instances, the most preferred first
	 */
	public static List<LiveInstance> preferred(String duty, DataCentreId dataCentre, List<LiveInstance> instances,
			int limit) {
		Predicate<LiveInstance> inDataCentre = (instance) -> instance.dataCentre().equals(dataCentre);
		return preferred(duty + "@" + dataCentre, instances.stream().filter(inDataCentre).toList(), limit);
	}

	/**
	 * Returns whether an instance is among the preferred holders of a duty.
	 * @param instance the instance
	 * @param holders the preferred holders
	 * @return {@code true} if it is one of the holders
	 */
	public static boolean isAmong(InstanceId instance, List<LiveInstance> holders) {
		return holders.stream().anyMatch((holder) -> holder.instance().equals(instance));
	}

	private static long score(long seed, InstanceId instance) {
		return Hashing.komihash5_0().hashStream().putLong(seed).putChars(instance.value()).getAsLong();
	}

	private record Scored(long score, LiveInstance instance) {

		private static final Comparator<Scored> HIGHEST_FIRST = Comparator.comparingLong(Scored::score)
			.reversed()
			.thenComparing((scored) -> scored.instance().instance());

	}

}
