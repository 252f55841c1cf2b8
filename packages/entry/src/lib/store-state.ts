/** Whether the store of rights answers, and when it is worth calling it. */
export type StoreState = {
	readonly isUp: () => boolean;
	/** Whether a call may be made now: after failures there is a growing pause. */
	readonly mayCall: () => boolean;
	readonly note: (isAnswered: boolean) => void;
};
