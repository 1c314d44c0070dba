package io.bulrushrouter.evacuation.report;

import java.time.LocalDateTime;
import java.util.Objects;
import java.util.Optional;

import io.bulrushrouter.evacuation.ShortfallReason;

/**
 * One line of the report.
 *
 * @param horizon the time for which it judges
 * @param subject what it is about, such as {@code group/north}
 * @param intended what is intended, such as {@code gone}
 * @param observed what is observed, such as {@code leaving, 3 running}
 * @param status how it stands
 * @param due when it is due, in the building's local time, or empty if as soon as it is
 * safe
 * @param forecast when it is expected to be as intended, or empty if that is not known
 * @param reason why it is short or waits, or empty
 * @param detail details for a person, or empty text
 */
public record ReportLine(Horizon horizon, String subject, String intended, String observed, LineStatus status,
		Optional<LocalDateTime> due, Optional<LocalDateTime> forecast, Optional<ShortfallReason> reason,
		String detail) {

	/**
	 * Checks the parts.
	 */
	public ReportLine {
		Objects.requireNonNull(horizon);
		Objects.requireNonNull(status);
		Objects.requireNonNull(due);
		Objects.requireNonNull(forecast);
		Objects.requireNonNull(reason);
	}

}
