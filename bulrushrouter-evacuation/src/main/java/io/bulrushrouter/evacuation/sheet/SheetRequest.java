package io.bulrushrouter.evacuation.sheet;

import java.util.Map;
import java.util.Objects;

import io.bulrushrouter.evacuation.Change;
import io.bulrushrouter.kernel.DataCentreId;
import io.bulrushrouter.kernel.OrganisationId;

/**
 * An operator's request to apply a sheet.
 *
 * @param sheet the sheet
 * @param currentPlacements the data centre that serves each organisation now
 * @param change the history entry for the change, with the identifier of the write
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
