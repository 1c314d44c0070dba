package io.bulrushrouter.evacuation.report;

import java.time.LocalDateTime;
import java.util.Objects;
import java.util.Optional;

import io.bulrushrouter.evacuation.ShortfallReason;

/**
 * A line of the report, which compares the intended and observed state of one subject.
 *
 * @param horizon the point in time for which the status holds
 * @param subject the upstream, group or organisation, such as {@code group/north}
 * @param intended the intended state, such as {@code gone}
 * @param observed the observed state, such as {@code leaving, 3 running}
 * @param status the status
 * @param due the deadline in the local time of the building, or empty if the state is to
 * be reached as soon as it is safe
 * @param forecast the time at which the intended state is expected, or empty if unknown
 * @param reason why the line is short or its next step held, or empty
 * @param detail a description for operators, which may be empty
 */
public record ReportLine(Horizon horizon, String subject, String intended, String observed, LineStatus status,
		Optional<LocalDateTime> due, Optional<LocalDateTime> forecast, Optional<ShortfallReason> reason,
		String detail) {

	/**
	 * Creates a line whose horizon, status and optional components must not be null.
	 */
	public ReportLine {
		Objects.requireNonNull(horizon);
		Objects.requireNonNull(status);
		Objects.requireNonNull(due);
		Objects.requireNonNull(forecast);
		Objects.requireNonNull(reason);
	}

}
