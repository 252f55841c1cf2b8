/** What a host does for its rights after the store came back from an older copy. */
export type RestoreRecovery = {
	/** Notes that the store was restored. */
	readonly noteRestored: () => void;
	/** Whether nothing is to be drawn now. */
	readonly isDrawPaused: () => boolean;
	readonly close: () => void;
};
