package io.bulrushrouter.evacuation;

import java.util.Locale;
import java.util.Objects;

import com.fasterxml.jackson.annotation.JsonCreator;
import com.fasterxml.jackson.annotation.JsonValue;

import io.bulrushrouter.kernel.BulrushException;
import io.bulrushrouter.kernel.ErrorCode;
import io.bulrushrouter.kernel.GroupId;
import io.bulrushrouter.kernel.UpstreamId;

/**
 * A reference in a plan or sheet to one upstream or one whole rank group.
 *
 * <pre>{@code
 * Target.of("group/north").name(); // north
 * }</pre>
 *
 * @param kind whether it refers to an upstream or a group
 * @param name the upstream's or group's name
 */
public record Target(Kind kind, String name) implements Comparable<Target> {

	/**
	 * Rejects null components.
	 */
	public Target {
		Objects.requireNonNull(kind);
		Objects.requireNonNull(name);
	}

	/**
	 * Parses a target.
	 * @param text {@code upstream/NAME} or {@code group/NAME}
	 * @return the target
	 * @throws BulrushException with {@link ErrorCode#BAD_NAME} if it is malformed
	 */
	@JsonCreator
	public static Target of(String text) {
		if (text.startsWith("upstream/")) {
			return of(UpstreamId.of(text.substring("upstream/".length())));
		}
		if (text.startsWith("group/")) {
			return of(GroupId.of(text.substring("group/".length())));
		}
		throw new BulrushException(ErrorCode.BAD_NAME, "target must be upstream/NAME or group/NAME: " + text);
	}

	/**
	 * Returns the target of one upstream.
	 * @param upstream the upstream
	 * @return the target
	 */
	public static Target of(UpstreamId upstream) {
		return new Target(Kind.UPSTREAM, upstream.value());
	}

	/**
	 * Returns the target of one rank group.
	 * @param group the group
	 * @return the target
	 */
	public static Target of(GroupId group) {
		return new Target(Kind.GROUP, group.value());
	}

	/**
	 * Returns the text form of the target.
	 * @return {@code upstream/NAME} or {@code group/NAME}
	 */
	@JsonValue
	public String text() {
		return this.kind.name().toLowerCase(Locale.ROOT) + "/" + this.name;
	}

	@Override
	public int compareTo(Target other) {
		return text().compareTo(other.text());
	}

	@Override
	public String toString() {
		return text();
	}

	/**
	 * The kind of a target.
	 */
	public enum Kind {

		/** One upstream. */
		UPSTREAM,

		/** A rank group with all its ranks. */
		GROUP

	}

}
