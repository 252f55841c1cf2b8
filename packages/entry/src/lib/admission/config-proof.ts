/** How well a host knows that no newer configuration than its own is due. */
export type ConfigProof = {
	/** How long ago the configuration in force was last known to be the newest one, in ms; infinite where that was never known. */
	readonly ageMs: number;
	/** Within what time a newer configuration must take effect, in ms; `undefined` where no bound is set. */
	readonly applyMs: number | undefined;
};
