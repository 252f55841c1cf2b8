/** Whether the store of rights answers, and when it is worth calling it. */
export type StoreState = {
	readonly isUp: () => boolean;
	/** When it answered again after it was last out of reach, in monotonic ms; minus infinity where it never was, now while it does not answer. */
	readonly upSince: () => number;
	/** How long it has been out of reach, in ms; 0 while it answers. */
	readonly downMs: () => number;
	/** Whether a call may be made now: after failures there is a growing pause. */
	readonly mayCall: () => boolean;
	readonly note: (isAnswered: boolean) => void;
};
