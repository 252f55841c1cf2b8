/** A running daemon. */
export type Daemon = {
	readonly callersPort: number;
	readonly peersPort: number;
	readonly operatorsPort: number;
	/** A planned stop: no new work, every open request ends, rights are settled. Resolves when all is closed. */
	readonly stop: () => Promise<void>;
	/** Resolves after a planned stop, whoever began it. */
	readonly stopped: Promise<void>;
};
