package io.bulrushrouter.evacuation.sheet;

import java.util.Map;
import java.util.Objects;

import io.bulrushrouter.evacuation.Change;
import io.bulrushrouter.kernel.DataCentreId;
import io.bulrushrouter.kernel.OrganisationId;

/**
 * An operator's order to apply a sheet.
 *
 * @param sheet the sheet
 * @param currentPlacements where the organisations' requests go now
 * @param change who, when and why, with the mark of the write
 * @param acceptRisk whether the operator accepts contradictions and shortages
 */
public record SheetRequest(MorningSheet sheet, Map<OrganisationId, DataCentreId> currentPlacements, Change change,
		boolean acceptRisk) {

	/**
	 * Copies the map.
	 */
	public SheetRequest {
		Objects.requireNonNull(sheet);
		currentPlacements = Map.copyOf(currentPlacements);
		Objects.requireNonNull(change);
	}

}
