/** One play of an experiment. */
export type Play = {
	/** The folder of the version that is played. */
	readonly folder: string;
	readonly version: 'base' | 'with';
	/** The name of a day, or a file that holds one. */
	readonly day: string;
	readonly seed: number;
};
