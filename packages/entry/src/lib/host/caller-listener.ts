/** What opens and closes the listening socket at which the server for callers accepts their connections. */
export type CallerListener = {
	/** The address, as `ip:port`; once the server listened, with the actual port. */
	readonly address: () => string;
	/** Whether connections are accepted. */
	readonly isAccepting: () => boolean;
	/** Accepts connections, or refuses them until the next call. The connections that are open stay. Does nothing once the listener stopped. */
	readonly setAccepting: (isAccepting: boolean) => void;
	/** Refuses connections for good. The connections that are open stay. */
	readonly stop: () => void;
	/** Closes the server and all its connections at once. */
	readonly kill: () => void;
};
