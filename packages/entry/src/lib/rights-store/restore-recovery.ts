/** Recovers a host's rights after the store was restored from an older copy. */
export type RestoreRecovery = {
	/** Starts the recovery; called for each sign that the store was restored. */
	readonly noteRestored: () => void;
	/** Whether this host must not draw from the store now, because other hosts may not yet have written again what they hold. */
	readonly isDrawPaused: () => boolean;
	/** Stops the retries of rewrites. */
	readonly close: () => void;
};
