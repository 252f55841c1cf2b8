/** How the tunnels of this host ended, by their tickets. */
export type TunnelEnds = {
	/** Follows a tunnel. `settled` resolves with whether all that the target sent, and its end, was passed on. */
	readonly follow: (ticket: string, settled: Promise<boolean>) => void;
	/** Whether the target ended the tunnel in order, and all was passed on; waits a moment for one that is still open. False for an unknown ticket. */
	readonly has: (ticket: string) => Promise<boolean>;
	/** The number of tunnels that ended in order so short a time ago that their peers may not have asked yet. */
	readonly recent: () => number;
};
