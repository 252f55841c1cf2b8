/** The faults and the pace of the stand-in engine, set over its control interface. */
export type EngineFaults = {
	/** Connections are cut without an answer. */
	readonly isDown: boolean;
	/** New requests are refused with 503: surely not run. */
	readonly refuses: boolean;
	/** A prompt that holds this text ends the engine: it breaks off all that it runs, and listens no more; empty for none. */
	readonly endsOn: string;
	/** Streams stop after this many tokens and are cut; 0 for never. */
	readonly breakAfter: number;
	/** Time between two tokens of a stream, in ms. */
	readonly msPerToken: number;
	/** Time to read one uncached prompt token, in ms. */
	readonly msPerPromptToken: number;
	/** Load reports are this old, in ms. */
	readonly reportLagMs: number;
};
