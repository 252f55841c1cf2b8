/** What is open at one endpoint, as hosts tell each other. */
export type LoadRow = {
	/** The `hash32` of the id of the endpoint's incarnation. */
	readonly endpoint: number;
	/** Open requests. */
	readonly open: number;
	/** Prompt tokens that are not prefilled yet, in units of `promptUnitTokens`. */
	readonly promptUnits: number;
};
