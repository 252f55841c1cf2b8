import type {Tunnels} from '@deckwheel/mesh';

/** Counts the tunnels for which a stopping host stays: those that are open, and those whose peers may still ask how they ended. */
export const countTunnels = (tunnels: Pick<Tunnels, 'served' | 'recentlyEnded'> | undefined): number =>
	(tunnels?.served() ?? 0) + (tunnels?.recentlyEnded() ?? 0);
